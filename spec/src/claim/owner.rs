//! An owner of the shard.

use crate::claim::{Index, Record};

/// A record that an owner writes, and its number.
pub type Write = (Record, usize);

/// An owner of the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Whether it has crashed.
    pub crashed: bool,
    /// Whether it answers.
    pub ready: bool,
    /// Whether a majority told it that the owner before claimed in memory.
    pub predecessor_in_memory: bool,
    /// The number of the next record, as far as it knows.
    pub next: usize,
    /// The records that it has read or written, as a bit set.
    pub read: u8,
    /// The record that it writes.
    pub pending: Option<Write>,
    /// Whether that record is in doubt.
    pub indeterminate: bool,
    /// The call for which the key is claimed in memory.
    pub memory_claim: Option<Index>,
}
