//! Segments of the log.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::error::Error;
use crate::record::Record;
use crate::shard::Shard;
use crate::writer::Writer;

/// The largest sum of the records' sizes in a segment, in bytes. The store takes values of up to
/// 1 MB.
pub(crate) const MAX_SIZE: usize = 900_000;

/// A group of records that is appended at once, the object `claims/<shard>/<number>`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The shard.
    pub shard: Shard,
    /// The place in the log.
    pub number: u64,
    /// The ledger that wrote it.
    pub writer: Writer,
    /// When it was formed, in log time and milliseconds.
    ///
    /// Log time passes only while an owner runs, at the rate of its clock. It never runs ahead of
    /// the time that has passed, so that no entry ends too early.
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

    /// Returns the segment as bytes.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(rmp_serde::to_vec(self)?)
    }

    /// Returns the segment that `bytes` hold.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` are not an encoded segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}

/// Returns the path of segment `number` of `shard`. Paths sort as their numbers do.
pub fn path(shard: Shard, number: u64) -> String {
    format!("{}{number:020}", prefix(shard))
}

/// Returns the start of the paths of the segments of `shard`.
pub fn prefix(shard: Shard) -> String {
    format!("claims/{shard}/")
}
