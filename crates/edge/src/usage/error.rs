//! Errors of requests for sums.

use thiserror::Error;

/// Why sums could not be received from another instance.
#[derive(Debug, Error)]
pub(super) enum Error {
    #[error(transparent)]
    Exchange(#[from] client::Error),
    #[error("no complete response in time")]
    TimedOut,
    #[error("status {0}")]
    Refused(u16),
    #[error("the request cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("the response cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}
