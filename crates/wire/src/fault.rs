//! Why a frame was refused.

use thiserror::Error;

/// Why a frame was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The frame is larger than [`crate::MAX_FRAME_BYTES`].
    #[error("a frame of {size} bytes is larger than {limit}")]
    TooLarge {
        /// The size of the frame in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The frame ends before its tag does.
    #[error("a frame of {size} bytes is too short")]
    TooShort {
        /// The size of the frame in bytes.
        size: usize,
    },
    /// The frame is of a format version that this instance does not speak.
    #[error("frames of format version {version} are not understood")]
    Version {
        /// The format version of the frame.
        version: u8,
    },
    /// The tag does not fit: the sender has another key, or the frame was changed on its way.
    #[error("the tag of the frame does not fit")]
    Tag,
    /// The message is malformed.
    #[error("the message is malformed: {reason}")]
    Malformed {
        /// What the decoder found.
        reason: String,
    },
    /// The message cannot be encoded.
    #[error("the message cannot be encoded: {reason}")]
    Encoding {
        /// What the encoder found.
        reason: String,
    },
    /// The key is too short.
    #[error("a key needs at least {min_bytes} bytes")]
    WeakKey {
        /// The least number of bytes.
        min_bytes: usize,
    },
}
