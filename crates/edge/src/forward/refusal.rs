//! Responses that the instance generates itself.

use std::time::Duration;

use crate::callers::Response;
use crate::headers::{Codec, Header};

/// The status of a request whose caller is not known. Such a request has not run.
pub(super) const UNAUTHORIZED: u16 = 401;

/// Why the instance responds itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration has been loaded.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// No route matches, but other instances have a newer configuration than this one.
    OldConfig,
    /// The route is not public, and the request has no key.
    NoKey,
    /// The route is not public, and the request has several keys, or something that cannot be one.
    MalformedKey,
    /// The route is not public, and no tenant has the key of the request.
    UnknownKey,
    /// The key of the request was removed while the request waited.
    RemovedKey,
    /// The key belongs to another tenant than at an earlier attempt.
    OtherTenant,
    /// The instance cannot know whether the key was removed.
    UnconfirmedKeys,
    /// The service has no usable server.
    NoServer,
    /// No server had capacity in time.
    NoCapacity,
    /// All servers that were tried rejected the request without running it.
    Shed,
    /// The request may have run, but there is no valid response.
    Indeterminate,
    /// All servers have asked for a pause.
    ServersPaused,
    /// Several servers crashed while they ran the request.
    CrashesServers,
    /// The instance stops, and would perhaps exit before the response.
    Stopping,
    /// Earlier requests of the connection have no response yet, and the route became non-idempotent.
    OutOfTurn,
    /// The deadline passed before the request was sent, or would pass before a response is expected.
    Expired,
    /// The deadline passed while a server handled the request.
    TimedOut,
}

impl Refusal {
    /// Returns the reason in the response body, logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoConfig => "no configuration",
            Self::NoRoute => "no route",
            Self::OldConfig => "old configuration",
            Self::NoKey => "no key",
            Self::MalformedKey => "malformed key",
            Self::UnknownKey => "unknown key",
            Self::RemovedKey => "removed key",
            Self::OtherTenant => "key of another tenant",
            Self::UnconfirmedKeys => "keys not confirmed",
            Self::NoServer => "no server",
            Self::NoCapacity => "no room",
            Self::Shed => "shed by servers",
            Self::Indeterminate => "answer lost",
            Self::ServersPaused => "servers want a pause",
            Self::CrashesServers => "servers crashed under it",
            Self::Stopping => "the instance stops",
            Self::OutOfTurn => "out of turn",
            Self::Expired => "expired unsent",
            Self::TimedOut => "too late",
        }
    }

    /// Returns the status. A request that may have run gets none that means "not run".
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey | Self::MalformedKey | Self::UnknownKey | Self::RemovedKey => UNAUTHORIZED,
            Self::Indeterminate => 502,
            Self::NoConfig
            | Self::OldConfig
            | Self::OtherTenant
            | Self::UnconfirmedKeys
            | Self::NoServer
            | Self::NoCapacity
            | Self::Shed
            | Self::ServersPaused
            | Self::CrashesServers
            | Self::Stopping
            | Self::OutOfTurn
            | Self::Expired => 503,
            Self::TimedOut => 504,
        }
    }

    /// Returns whether the request was passed on to a server, or refused because capacity ran out.
    /// `None` if neither.
    pub(crate) fn passed_on(self) -> Option<bool> {
        match self {
            Self::Indeterminate | Self::TimedOut => Some(true),
            Self::NoCapacity | Self::Shed | Self::ServersPaused | Self::Expired => Some(false),
            Self::NoConfig
            | Self::NoRoute
            | Self::OldConfig
            | Self::NoKey
            | Self::MalformedKey
            | Self::UnknownKey
            | Self::RemovedKey
            | Self::OtherTenant
            | Self::UnconfirmedKeys
            | Self::OutOfTurn
            | Self::NoServer
            | Self::CrashesServers
            | Self::Stopping => None,
        }
    }

    /// Returns the response to the request `id`, which may be repeated after `retry_after`.
    pub(crate) fn response<H>(
        self,
        codec: &H,
        id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> Response
    where
        H: Codec,
    {
        const UNAVAILABLE: u16 = 503;
        let mut headers: Vec<Header> = id
            .map(|id| codec.request_id_header(id))
            .into_iter()
            .collect();
        if self.status() == UNAUTHORIZED {
            headers.push(codec.challenge_header());
        }
        if self.status() == UNAVAILABLE {
            let after = retry_after.unwrap_or(Duration::from_millis(500));
            let seconds = format!("{:.3}", after.as_secs_f64());
            headers.push(("Retry-After".to_owned(), seconds.into_bytes()));
        }
        Response {
            status: self.status(),
            headers,
            body: format!("{}\n", self.reason()).into_bytes(),
        }
    }
}
