//! What is counted during a run.

use std::time::Duration;

use clock::Instant;

/// What is counted during a run, for calls that arrive after the settling time.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The time from arrival to answer of each answered call.
    pub latencies: Vec<Duration>,
    /// The calls refused unrun.
    pub refused: u64,
    /// The calls whose time limit passed in the queue of a server.
    pub expired: u64,
    /// The requests that found all slots of their server taken.
    pub over_slots: u64,
    /// The requests that found a cold server with another request at hand.
    pub over_cold: u64,
    /// The messages between entries and owners.
    pub messages: u64,
    /// The probes.
    pub probes: u64,
    /// When the pools last began to have all slots of all their servers; credits only.
    pub full: Option<Instant>,
}
