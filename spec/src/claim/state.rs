//! The global state of the model.

use crate::claim::{Owner, Record, Write, CALLS, OWNERS, RECORDS};

/// The state of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Call {
    /// It has been neither started nor released.
    #[default]
    Waiting,
    /// It was started.
    Started,
    /// It was released.
    Released,
}

/// The global state of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether the store is down.
    pub down: bool,
    /// How many further outages may occur.
    pub outages: u8,
    /// The log.
    pub log: [Option<Record>; RECORDS],
    /// Each owner's record in flight to the store.
    pub in_flight: [Option<Write>; OWNERS],
    /// The owners.
    pub owners: [Owner; OWNERS],
    /// The index of the owner that has authority.
    pub acting: usize,
    /// Whether claims in memory are announced to a majority.
    pub announced: bool,
    /// The calls.
    pub calls: [Call; CALLS],
    /// The owners that have granted each call, as bit sets.
    pub granted: [u8; CALLS],
    /// The number of calls that were started.
    pub starts: u8,
}

impl State {
    /// Returns the number of records in the log.
    pub fn len(&self) -> usize {
        self.log.iter().flatten().count()
    }

    /// Returns whether the log is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
