//! The rate at which one instance feeds a cold server.

use clock::Instant;

/// Lets requests pass at a rate, one at a time.
///
/// Two views of the membership may name two feeders for one server. Each keeps to less than half of
/// what the server bears above its rate, so that their sum stays within it.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    next: Instant,
}

/// The part of a server's rate that its feeder uses.
const RATE_SHARE: f64 = 0.9;

impl Limiter {
    /// Returns a ramp that lets the first request pass at `now`.
    pub fn new(now: Instant) -> Self {
        Self { next: now }
    }

    /// Returns whether a request may pass at `now`.
    pub fn allows(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Notes that a request passed at `now`, with `rate` requests a second.
    pub fn record(&mut self, now: Instant, rate: f64) {
        const SLOWEST: f64 = 0.1;
        let interval = 1.0 / (rate * RATE_SHARE).max(SLOWEST);
        self.next = now + std::time::Duration::from_secs_f64(interval);
    }
}
