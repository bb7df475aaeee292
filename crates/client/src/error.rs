//! Why an exchange failed.

use thiserror::Error;

/// How far a request may have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte has left: the request has not run and never will.
    NotSent,
    /// A byte may have reached the other side: the request may have run or may run yet.
    Unknown,
}

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The request has bytes that would change its meaning on the way. Nothing was sent.
    #[error("the head of the request has bytes that must not be sent")]
    InvalidRequest,
    /// The connection broke while the request was sent or the answer awaited.
    #[error("the connection broke: {0}")]
    Broken(#[source] std::io::Error),
    /// The other side closed the connection before its answer was whole.
    #[error("the answer ends after {received} bytes of its body")]
    Truncated {
        /// The bytes of the body that arrived.
        received: usize,
    },
    /// The answer is not HTTP/1.1.
    #[error("the answer is malformed")]
    Malformed,
    /// The answer lasts until the connection closes, so that a cut cannot be told from its end.
    #[error("the answer has neither a length nor chunks")]
    Unframed,
    /// Only answers to other requests arrived.
    #[error("the answers on the connection belong to other requests")]
    Mismatched,
    /// More bytes arrived than the answer has.
    #[error("bytes follow the end of the answer")]
    TrailingBytes,
    /// The answer is larger than the limits allow.
    #[error("the answer exceeds the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns how far the request may have got.
    pub fn delivery(&self) -> Delivery {
        match self {
            Error::Connect(_) | Error::InvalidRequest => Delivery::NotSent,
            _ => Delivery::Unknown,
        }
    }

    /// Returns whether the connection broke, or was closed before any part of a body.
    pub fn is_reset(&self) -> bool {
        matches!(self, Error::Broken(_) | Error::Truncated { received: 0 })
    }
}
