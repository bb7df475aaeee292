//! Counts of what a backend stand-in saw.

use serde::{Deserialize, Serialize};

/// Counts of what a backend stand-in saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once, since there were too many.
    pub refused_connections: u64,
    /// Requests received, without those for health, load and control.
    pub requests: u64,
    /// Requests executed.
    pub executions: u64,
    /// Requests executed whose idempotency key had been executed before.
    pub repeats: u64,
    /// Requests for health and load.
    pub probes: u64,
    /// Requests that found every slot taken.
    pub over_slots: u64,
    /// Requests that a cold server got while it had another.
    pub over_cold: u64,
    /// Requests received while leaving.
    pub after_leaving: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests whose caller closed the connection before the answer.
    pub cancelled: u64,
    /// Requests that ended at their deadline.
    pub late: u64,
    /// Crashes.
    pub crashes: u64,
    /// The most requests at hand at once.
    pub most_in_flight: u64,
}
