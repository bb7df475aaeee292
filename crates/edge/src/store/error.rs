//! Errors of store calls.

use std::time::Duration;

use thiserror::Error;

/// Error of a store call.
#[derive(Debug, Error)]
pub enum Error {
    /// The changes since the requested revision are no longer kept.
    #[error("the changes since the revision are no longer kept")]
    Compacted,
    /// The record has changed, so the condition of the write does not hold.
    #[error("the record has changed")]
    Conflict,
    /// The store refused the call with this status.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store's response was not complete in time.
    #[error("no complete response within {limit:?}, {received} bytes of it arrived")]
    TimedOut {
        /// The time.
        limit: Duration,
        /// The number of bytes that arrived.
        received: usize,
    },
    /// The request could not be sent, or the response not received.
    #[error("the store cannot be reached: {0}")]
    Exchange(#[from] client::Error),
    /// The response is malformed.
    #[error("the store's response is malformed: {0}")]
    Malformed(String),
    /// The store has shown a later era, so that the response is out of date.
    #[error("the response is of era {found} of the store, after one of era {known}")]
    OldEra {
        /// The era of the response.
        found: u64,
        /// The latest era seen.
        known: u64,
    },
}
