//! Counters of a run.

use std::time::Duration;

use clock::Instant;

/// The counters of a run, for calls that arrive after the settling time.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The time from arrival to response of each answered call.
    pub latencies: Vec<Duration>,
    /// The calls refused without reaching a server.
    pub refused: u64,
    /// The calls whose time limit expired in the queue of a server.
    pub expired: u64,
    /// The requests that arrived when all slots of their server were in use.
    pub over_slots: u64,
    /// The requests that arrived at a cold server with another request pending.
    pub over_cold: u64,
    /// The messages of the balancer between machines.
    pub messages: u64,
    /// The probes sent.
    pub probes: u64,
    /// The time since which the allowance of every server has been all its slots; only for
    /// balancers that use credits.
    pub full: Option<Instant>,
}
