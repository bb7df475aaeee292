//! Errors of exchanges, and whether the failed request may have been delivered.

use thiserror::Error;

/// Whether a failed request may have been delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte was sent: the request has not run and never will.
    NotSent,
    /// A byte may have reached the other side: the request may have run, or may still run.
    Unknown,
}

/// Why an exchange failed.
///
/// See [`Error::delivery`] for whether the request may have run.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The head of the request contains bytes that could end it or start another request. Nothing
    /// was sent.
    #[error("the head of the request has bytes that must not be sent")]
    InvalidRequest,
    /// The connection failed while the request was being sent or the response awaited.
    #[error("the connection broke: {0}")]
    Broken(#[source] std::io::Error),
    /// The other side closed the connection before the response was complete.
    #[error("the response ends after {received} bytes of its body")]
    Truncated {
        /// The number of bytes of the body that were received.
        received: usize,
    },
    /// The response is not valid HTTP/1.1.
    #[error("the response is malformed")]
    Malformed,
    /// The response ends with the connection, so a truncated response cannot be distinguished from
    /// a complete one.
    #[error("the response has neither a length nor chunks")]
    Unframed,
    /// Only responses to other requests were received.
    #[error("the responses on the connection belong to other requests")]
    Mismatched,
    /// Bytes that belong to no request followed the response.
    #[error("bytes follow the end of the response")]
    TrailingBytes,
    /// The bodies that are being received exceed the shared [`Memory`](crate::Memory).
    #[error("the bodies being received take too much memory together")]
    OutOfMemory,
    /// The response exceeds one of the [`Limits`](crate::Limits).
    #[error("the response exceeds the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the request may have been delivered.
    pub fn delivery(&self) -> Delivery {
        match self {
            Error::Connect(_) | Error::InvalidRequest => Delivery::NotSent,
            _ => Delivery::Unknown,
        }
    }

    /// Returns whether the connection ended before the response did.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Error::Broken(_) | Error::Truncated { .. })
    }

    /// Returns whether the connection failed, or was closed before any byte of a body was received.
    pub fn is_reset(&self) -> bool {
        matches!(self, Error::Broken(_) | Error::Truncated { received: 0 })
    }
}
