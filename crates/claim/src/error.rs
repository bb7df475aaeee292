//! Errors of reading and writing a log.

use thiserror::Error;

use crate::shard::Shard;

/// An error of reading or writing a log.
#[derive(Debug, Error)]
pub enum Error {
    /// A segment of another shard was replayed.
    #[error("expected a segment of shard {expected}, found one of shard {found}")]
    Shard {
        /// The ledger's shard.
        expected: Shard,
        /// The segment's shard.
        found: Shard,
    },
    /// Segments were replayed out of order, or one is missing.
    #[error("expected segment {expected}, found segment {found}")]
    Gap {
        /// The number of the next segment.
        expected: u64,
        /// The number of the segment that was replayed.
        found: u64,
    },
    /// A segment was replayed after the ledger had begun its takeover.
    #[error("segment {number} replayed after the takeover had begun")]
    Opened {
        /// The number of the segment.
        number: u64,
    },
    /// A segment could not be encoded.
    #[error("cannot encode a segment")]
    Encode(#[from] rmp_serde::encode::Error),
    /// A stored segment could not be decoded.
    #[error("cannot decode a segment")]
    Decode(#[from] rmp_serde::decode::Error),
}
