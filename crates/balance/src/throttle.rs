//! Limits the rate of requests from all instances to one server.

use std::time::Duration;

use clock::Instant;

/// The lowest rate, in requests a second. Only responses tell that a limit has ended, so that a
/// server which takes none gets one now and then.
const MIN_RATE: f64 = 0.25;

/// The time whose requests may start at once after a pause.
const BURST: Duration = Duration::from_millis(250);

/// A token bucket for one server.
///
/// Each instance has its own, which the starts of all instances draw on. Instances that see a token
/// at the same time may all take it; the debt delays the next one.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    /// Requests a second.
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Throttle {
    /// Returns a throttle without tokens. `rate` is in requests a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            tokens: 0.0,
            at: now,
        }
    }

    /// Sets the rate, in requests a second.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate.max(MIN_RATE);
    }

    /// Records that `requests` have started.
    pub fn take(&mut self, requests: u32, now: Instant) {
        self.refill(now);
        self.tokens -= f64::from(requests);
    }

    /// Returns when the next request may start, or `None` if it may now.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return None;
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX);
        Some(now + wait.max(Duration::from_micros(1)))
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.at = self.at.max(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let most = (self.rate * BURST.as_secs_f64()).max(1.0);
        (self.tokens + self.rate * now.since(self.at).as_secs_f64()).min(most)
    }
}
