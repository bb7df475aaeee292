//! An owner of the shard.

use crate::claim::{Index, Record};

/// A record that an owner appends, and its number in the log.
pub type Write = (Record, usize);

/// An owner of the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Whether it has crashed.
    pub crashed: bool,
    /// Whether it answers requests.
    pub ready: bool,
    /// Whether a majority reported to it that the previous owner claimed in memory.
    pub predecessor_in_memory: bool,
    /// The number of the next record, to its knowledge.
    pub next: usize,
    /// The numbers of the records that it has read or written, as a bit set.
    pub read: u8,
    /// The record that it is appending.
    pub pending: Option<Write>,
    /// Whether the outcome of that append is indeterminate.
    pub indeterminate: bool,
    /// The call for which the key is claimed in memory.
    pub memory_claim: Option<Index>,
}
