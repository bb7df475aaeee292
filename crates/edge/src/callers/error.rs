//! Why a request is rejected or its connection closed.

use thiserror::Error;

/// Why a request is rejected or its connection closed. The text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Error {
    /// The connection was closed, or was idle for too long, before a request was complete.
    #[error("the connection ended")]
    Ended,
    /// The request took too long to arrive.
    #[error("the request took too long to arrive")]
    TooSlow,
    /// The head is too large.
    #[error("the head of the request is too large")]
    HeadTooLarge,
    /// The body is too large.
    #[error("the body of the request is too large")]
    BodyTooLarge,
    /// Too many large requests arrive at the same time.
    #[error("too many large requests arrive at the same time")]
    Overloaded,
    /// The request is not valid HTTP/1.1.
    #[error("the request is malformed")]
    Malformed,
}

impl Error {
    /// Returns the status of the response, or `None` if the connection closes without one.
    pub(crate) fn status(self) -> Option<u16> {
        match self {
            Self::Ended => None,
            Self::TooSlow => Some(408),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::Overloaded => Some(503),
            Self::Malformed => Some(400),
        }
    }
}
