//! Why a call of the platform failed.

use thiserror::Error;

/// Why a call of the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The platform did not take the call: nothing has changed.
    #[error("the platform is unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// No answer came in time: a write may or may not have taken effect.
    #[error("no answer from the platform: {reason}")]
    Indeterminate {
        /// What was seen.
        reason: String,
    },
    /// The platform's answer to a read could not be understood. For a write this is
    /// [`Error::Indeterminate`].
    #[error("the platform's answer is malformed: {reason}")]
    Malformed {
        /// What was seen.
        reason: String,
    },
    /// The value is larger than the platform takes.
    #[error("a value of {size} bytes is larger than the platform's limit of {limit}")]
    TooLarge {
        /// The size of the value in bytes.
        size: usize,
        /// The largest size that the platform takes, in bytes.
        limit: usize,
    },
}
