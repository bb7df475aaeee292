//! Answers to callers that come from chivewheel itself.

use thiserror::Error;

use crate::outcome::Outcome;
use crate::server::Response;

/// Why a caller gets no response from a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Refusal {
    /// No service has the host.
    #[error("no service answers the host '{0}'")]
    NoService(String),
    /// No route of the service matches the call.
    #[error("no route takes {0}")]
    NoRoute(String),
    /// The call must not repeat and has no key.
    #[error("a call that must not repeat needs the header Idempotency-Key")]
    NoKey,
    /// The value of a header is invalid.
    #[error("the header {0} cannot be used")]
    Header(&'static str),
    /// The key was used for another request.
    #[error("the Idempotency-Key was used for another request")]
    KeyReused,
    /// No backend server has capacity, or none may take the call.
    #[error("no backend server can take the call now")]
    NoCapacity,
    /// This instance has too many calls in flight.
    #[error("this instance has too many calls under way")]
    Overloaded,
    /// The request crashed several backend servers and is in quarantine.
    #[error("this request ended several backend servers and is refused for a while")]
    Quarantined,
    /// The owner of the key is unreachable or does not know whether the call ran, or a backend
    /// server has rejected this call or another one.
    #[error("it cannot be told whether the call ran")]
    Undecided,
    /// An attempt may have run.
    #[error("the call may have run: no whole answer came back")]
    Lost,
    /// An attempt may have run, and the deadline has passed.
    #[error("the call may have run: no answer came within its time")]
    TimedOut,
}

impl Refusal {
    /// Returns the status code.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Refusal::NoService(_) | Refusal::NoRoute(_) => 404,
            Refusal::NoKey | Refusal::Header(_) => 400,
            Refusal::KeyReused => 422,
            Refusal::NoCapacity | Refusal::Overloaded | Refusal::Quarantined => 503,
            Refusal::Undecided => 503,
            Refusal::Lost => 502,
            Refusal::TimedOut => 504,
        }
    }

    /// Returns the reason as a metric's label.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Refusal::NoService(_) => "no-service",
            Refusal::NoRoute(_) => "no-route",
            Refusal::NoKey => "no-key",
            Refusal::Header(_) => "header",
            Refusal::KeyReused => "key-reused",
            Refusal::NoCapacity => "no-capacity",
            Refusal::Overloaded => "overloaded",
            Refusal::Quarantined => "quarantined",
            Refusal::Undecided => "undecided",
            Refusal::Lost => "lost",
            Refusal::TimedOut => "late",
        }
    }

    /// Returns the outcome of the call.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Refusal::Undecided | Refusal::Lost | Refusal::TimedOut => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the answer to the caller.
    pub(crate) fn response(&self) -> Response {
        const RETRY_AFTER_SECS: &str = "1";
        let response = Response::refusal(self.status(), self.outcome(), &self.to_string());
        match self.status() {
            503 => response.with_header("Retry-After", RETRY_AFTER_SECS),
            _ => response,
        }
    }
}
