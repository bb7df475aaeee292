//! Limits the rate of requests from one instance to a cold server.

use clock::Instant;

/// Limits requests to a rate by spacing them evenly.
///
/// Two instances with different views of the membership may both warm up one server. A server
/// tolerates more than its rate, and each instance sends less than half of what it tolerates, so
/// that both together stay within it.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    next_at: Instant,
}

/// The share of a server's rate that one instance uses.
const RATE_SHARE: f64 = 0.9;

impl Limiter {
    /// Returns a limiter that allows the first request at `now`.
    pub fn new(now: Instant) -> Self {
        Self { next_at: now }
    }

    /// Returns whether a request is allowed at `now`.
    pub fn allows(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Records a request at `now`. `rate` is the allowed number of requests a second.
    pub fn record(&mut self, now: Instant, rate: f64) {
        const MIN_RATE: f64 = 0.1;
        let interval_secs = 1.0 / (rate * RATE_SHARE).max(MIN_RATE);
        self.next_at = now + std::time::Duration::from_secs_f64(interval_secs);
    }
}
