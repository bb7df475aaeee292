//! Errors of sealing and opening frames.

use thiserror::Error;

/// Why a frame was refused or could not be sealed, or a key rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The frame exceeds [`crate::MAX_FRAME_BYTES`].
    #[error("a frame of {size} bytes is larger than {limit}")]
    TooLarge {
        /// The size of the frame in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The frame is too short to hold a version and a tag.
    #[error("a frame of {size} bytes is too short")]
    TooShort {
        /// The size of the frame in bytes.
        size: usize,
    },
    /// This instance does not support the frame's format version.
    #[error("frame format version {version} is not supported")]
    Version {
        /// The format version of the frame.
        version: u8,
    },
    /// The tag is wrong: the sender has another key, the frame was modified in transit, or a
    /// message was sent as a reply (or the reverse).
    #[error("the authentication tag of the frame is wrong")]
    Tag,
    /// The message or reply cannot be decoded.
    #[error("the message is malformed: {reason}")]
    Malformed {
        /// The decoder's error.
        reason: String,
    },
    /// The message or reply cannot be encoded.
    #[error("the message cannot be encoded: {reason}")]
    Encoding {
        /// The encoder's error.
        reason: String,
    },
    /// The key is too short.
    #[error("a key needs at least {min_bytes} bytes")]
    WeakKey {
        /// The least number of bytes that a key may have.
        min_bytes: usize,
    },
}
