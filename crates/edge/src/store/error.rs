//! Why a call of the store failed.

use std::time::Duration;

use thiserror::Error;

/// Why a call of the store failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The changes after the revision are no longer kept.
    #[error("the changes since the revision are no longer kept")]
    Compacted,
    /// The record has changed, so that the condition of the write does not hold.
    #[error("the record has changed")]
    Conflict,
    /// The store refused the call.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// No answer came in time.
    #[error("the store did not answer in {0:?}")]
    TimedOut(Duration),
    /// The call could not be exchanged.
    #[error("the store cannot be reached: {0}")]
    Exchange(#[from] client::Error),
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}
