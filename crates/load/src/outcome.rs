//! What came of a call.

use serde::Serialize;

use crate::response::{Failure, Response};

macro_rules! outcomes {
    ($($(#[$doc:meta])* $outcome:ident => $name:literal,)*) => {
        /// What came of a call.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Outcome {
            $($(#[$doc])* $outcome,)*
        }

        impl Outcome {
            /// Every outcome, in the order of declaration.
            pub const ALL: &'static [Outcome] = &[$(Outcome::$outcome,)*];

            /// Returns the name of the outcome, as reports have it.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Outcome::$outcome => $name,)*
                }
            }
        }
    };
}

outcomes! {
    /// The whole and right answer came.
    Complete => "complete",
    /// A whole answer came that says that the backend server failed.
    Error => "error",
    /// The answer says that nothing ran.
    NotRun => "not-run",
    /// The answer says that the call may have run.
    Unknown => "unknown",
    /// The answer is whole, but not that to this call.
    Wrong => "wrong",
    /// The answer is not whole, or says nothing of its outcome.
    Broken => "broken",
    /// No answer came in time.
    Timeout => "timeout",
    /// No connection was made, or it closed before an answer.
    NoAnswer => "no-answer",
    /// The call was due and not sent, since too many were under way.
    Unsent => "unsent",
}

impl Outcome {
    /// Returns whether the caller cannot tell if the call ran.
    pub fn is_doubtful(self) -> bool {
        matches!(
            self,
            Self::Unknown | Self::Broken | Self::Timeout | Self::NoAnswer
        )
    }

    /// Returns what `answer` says. `expected` is the body of the right answer; `is_direct` says that
    /// no outcome header is expected.
    pub(crate) fn of(answer: &Result<Response, Failure>, expected: &[u8], is_direct: bool) -> Self {
        let response = match answer {
            Ok(response) => response,
            Err(Failure::Timeout) => return Self::Timeout,
            Err(Failure::Connect | Failure::Closed) => return Self::NoAnswer,
            Err(Failure::Truncated | Failure::Malformed) => return Self::Broken,
        };
        match response.outcome.as_deref() {
            Some("complete") => Self::of_whole(response, expected),
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            None if is_direct => Self::of_whole(response, expected),
            _ => Self::Broken,
        }
    }

    fn of_whole(response: &Response, expected: &[u8]) -> Self {
        match response.status {
            200 if response.body == expected => Self::Complete,
            200 => Self::Wrong,
            _ => Self::Error,
        }
    }
}

/// Returns the body that answers a call, as the backend stand-ins echo it: the method and target,
/// the idempotency key or `-`, and the body of the request.
pub(crate) fn echo(method: &str, target: &str, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let key = key.unwrap_or("-");
    let mut bytes = format!("{method} {target}\n{key}\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
