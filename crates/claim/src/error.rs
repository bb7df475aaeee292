//! Why a log could not be read or written.

use thiserror::Error;

use crate::shard::Shard;

/// Why a log could not be read or written.
#[derive(Debug, Error)]
pub enum Error {
    /// A segment of another shard was read.
    #[error("segment of shard {found} read for shard {expected}")]
    Shard {
        /// The ledger's shard.
        expected: Shard,
        /// The segment's shard.
        found: Shard,
    },
    /// Segments were read out of order or one is missing.
    #[error("segment {found} read where segment {expected} comes next")]
    Gap {
        /// The number that comes next.
        expected: u64,
        /// The number that was read.
        found: u64,
    },
    /// A segment was read after the ledger had begun to write.
    #[error("segment {number} read after the ledger was opened")]
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
