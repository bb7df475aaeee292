//! Why a request cannot be read.

use thiserror::Error;

/// Why a request cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Error {
    /// The connection has ended, or was idle for too long, before a request began.
    #[error("the connection ended")]
    Ended,
    /// The head took too long.
    #[error("the request took too long to arrive")]
    TooSlow,
    /// The head is too large.
    #[error("the head of the request is too large")]
    HeadTooLarge,
    /// The body is too large.
    #[error("the body of the request is too large")]
    BodyTooLarge,
    /// The request is not HTTP/1.1.
    #[error("the request is malformed")]
    Malformed,
}

impl Error {
    /// Returns the status of the answer, if there is to be one.
    pub(crate) fn status(self) -> Option<u16> {
        match self {
            Self::Ended => None,
            Self::TooSlow => Some(408),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::Malformed => Some(400),
        }
    }
}
