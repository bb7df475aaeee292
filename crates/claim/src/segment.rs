//! Segments of the log.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::error::Error;
use crate::record::Record;
use crate::shard::Shard;
use crate::writer::Writer;

/// The largest sum of the sizes of the records in a segment. The store accepts values up to 1 MB.
pub(crate) const MAX_SEGMENT_BYTES: usize = 900_000;

/// A group of records that is appended at once, as the object `claims/<shard>/<number>`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The shard.
    pub shard: Shard,
    /// The position in the log.
    pub number: u64,
    /// The ledger that wrote the segment.
    pub writer: Writer,
    /// The log time at which the segment was built, stored in milliseconds.
    ///
    /// Log time advances only while the shard has an owner, at the rate of the owner's clock. It is
    /// never ahead of the real time elapsed, so that no entry expires too early.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time: Duration,
    /// The records, in order.
    pub records: Vec<Record>,
}

impl Segment {
    /// Returns the path of the object that holds the segment.
    pub fn path(&self) -> String {
        path(self.shard, self.number)
    }

    /// Encodes the segment.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(rmp_serde::to_vec(self)?)
    }

    /// Decodes a segment from `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` are not an encoded segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}

/// Returns the path of segment `number` of `shard`. Paths sort in the order of the numbers.
pub fn path(shard: Shard, number: u64) -> String {
    format!("{}{number:020}", prefix(shard))
}

/// Returns the common prefix of the paths of all segments of `shard`.
pub fn prefix(shard: Shard) -> String {
    format!("claims/{shard}/")
}
