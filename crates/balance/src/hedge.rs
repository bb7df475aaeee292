//! Decides when a request that may repeat is sent to a second server while the first one still
//! works on it.
//!
//! A server can turn slow, or stop responding, after a request was sent to it. Reports of load
//! cannot foresee that; the time that the request takes shows it.

use std::time::Duration;

/// The multiples of the expected duration at which a second server is considered.
const DELAY_FACTORS: [f64; 2] = [1.5, 3.0];

/// A request in flight for longer than expected.
#[derive(Clone, Copy, Debug)]
pub struct Overdue {
    /// The time since the caller's request arrived.
    pub elapsed: Duration,
    /// The route's latency objective.
    pub objective: Duration,
    /// The time until the caller's deadline.
    pub time_left: Duration,
}

/// Returns how long after a request was sent a second server is considered, given how long the
/// request was `expected` to take.
pub fn delays(expected: Duration) -> [Duration; 2] {
    DELAY_FACTORS.map(|factor| expected.mul_f64(factor))
}

impl Overdue {
    /// Returns whether a second server on which the request is expected to take `expected` is
    /// worth its load at check number `check` of [`delays`]. At first it has to meet the
    /// objective. Later, when the first server is unlikely to respond, it has to meet the deadline.
    pub fn needs_second(&self, check: usize, expected: Duration) -> bool {
        let meets_objective = self.elapsed + expected <= self.objective;
        meets_objective || (check > 0 && expected <= self.time_left)
    }
}
