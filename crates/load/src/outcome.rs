//! Outcomes of calls, derived from their responses.

use serde::Serialize;

use crate::response::{Failure, Response};

macro_rules! outcomes {
    ($($(#[$doc:meta])* $outcome:ident => $name:literal,)*) => {
        /// Outcome of a call.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Outcome {
            $($(#[$doc])* $outcome,)*
        }

        impl Outcome {
            /// Every outcome, in the order of declaration.
            pub const ALL: &'static [Outcome] = &[$(Outcome::$outcome,)*];

            /// Returns the name of the outcome in reports.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Outcome::$outcome => $name,)*
                }
            }
        }
    };
}

outcomes! {
    /// The complete, expected response was received.
    Complete => "complete",
    /// A complete response reported a failure of the backend server.
    Error => "error",
    /// The response says that the call was not executed.
    NotRun => "not-run",
    /// The response says that the call may have been executed.
    Unknown => "unknown",
    /// The response is complete but belongs to another call.
    Wrong => "wrong",
    /// The response is truncated, malformed or lacks an outcome.
    Broken => "broken",
    /// No complete response arrived within the time limit.
    Timeout => "timeout",
    /// The connection failed, or closed before a response.
    NoAnswer => "no-answer",
    /// The call was not sent because too many were in flight.
    Unsent => "unsent",
}

impl Outcome {
    /// Returns whether the caller cannot know if the call was executed.
    pub fn is_doubtful(self) -> bool {
        matches!(
            self,
            Self::Unknown | Self::Broken | Self::Timeout | Self::NoAnswer
        )
    }

    /// Classifies the result of a call. `expected` is the expected response body. If `is_direct`,
    /// the response needs no outcome header.
    pub(crate) fn of(result: &Result<Response, Failure>, expected: &[u8], is_direct: bool) -> Self {
        let response = match result {
            Ok(response) => response,
            Err(Failure::Timeout) => return Self::Timeout,
            Err(Failure::Connect | Failure::Closed) => return Self::NoAnswer,
            Err(Failure::Truncated | Failure::Malformed) => return Self::Broken,
        };
        match response.outcome.as_deref() {
            Some("complete") => Self::of_complete(response, expected),
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            None if is_direct => Self::of_complete(response, expected),
            _ => Self::Broken,
        }
    }

    fn of_complete(response: &Response, expected: &[u8]) -> Self {
        match response.status {
            200 if response.body == expected => Self::Complete,
            200 => Self::Wrong,
            _ => Self::Error,
        }
    }
}

/// Returns the response body that a backend stand-in echoes: the method and request target, the
/// idempotency key or `-`, and the request body.
pub(crate) fn echo_body(method: &str, target: &str, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let key = key.unwrap_or("-");
    let mut bytes = format!("{method} {target}\n{key}\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
