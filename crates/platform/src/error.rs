//! Errors of calls to the platform.

use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The platform did not process the call: nothing has changed or will change.
    #[error("the platform is unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The outcome of a write is indeterminate: no usable response was received, so the write may
    /// or may not take effect.
    #[error("no answer from the platform: {reason}")]
    Indeterminate {
        /// What was seen.
        reason: String,
    },
    /// The platform's response to a read is malformed. A malformed response to a write is
    /// [`Error::Indeterminate`] instead.
    #[error("the platform's answer is malformed: {reason}")]
    Malformed {
        /// What was seen.
        reason: String,
    },
    /// The value is larger than the platform accepts.
    #[error("a value of {size} bytes is larger than the platform's limit of {limit}")]
    TooLarge {
        /// The size of the value in bytes.
        size: usize,
        /// The largest size that the platform accepts, in bytes.
        limit: usize,
    },
}
