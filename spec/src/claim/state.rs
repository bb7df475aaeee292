//! All that matters at one instant.

use crate::claim::{Owner, Record, Write, CALLS, OWNERS, RECORDS};

/// What has become of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Call {
    /// It waits.
    #[default]
    Waiting,
    /// It was started.
    Started,
    /// It was released.
    Released,
}

/// All that matters at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether the store is down.
    pub down: bool,
    /// How many outages may come yet.
    pub outages: u8,
    /// The log.
    pub log: [Option<Record>; RECORDS],
    /// The records on their way to the store.
    pub in_flight: [Option<Write>; OWNERS],
    /// The owners.
    pub owners: [Owner; OWNERS],
    /// The owner that has authority.
    pub acting: usize,
    /// Whether a majority knows that the acting owner claims in memory.
    pub announced: bool,
    /// The calls.
    pub calls: [Call; CALLS],
    /// The owners that have cleared each call, as bit sets.
    pub granted: [u8; CALLS],
    /// How often calls were started.
    pub starts: u8,
}

impl State {
    /// Returns the length of the log.
    pub fn len(&self) -> usize {
        self.log.iter().flatten().count()
    }

    /// Returns whether the log is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
