//! Event counts of a backend stand-in.

use serde::{Deserialize, Serialize};

/// Event counts of a backend stand-in since it was bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed immediately because the limit was reached.
    pub refused_connections: u64,
    /// Requests received, except those for health, load and control.
    pub requests: u64,
    /// Requests executed.
    pub executions: u64,
    /// Executions with an idempotency key that had already been executed.
    pub repeats: u64,
    /// Probes of health and load.
    pub probes: u64,
    /// Requests received while every slot was occupied.
    pub over_slots: u64,
    /// Requests received by a cold server while it had another in flight.
    pub over_cold: u64,
    /// Requests received while draining.
    pub after_leaving: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests whose caller disconnected before the response.
    pub cancelled: u64,
    /// Requests that ended at their deadline.
    pub late: u64,
    /// Crashes.
    pub crashes: u64,
    /// Highest number of requests in flight.
    pub most_in_flight: u64,
}
