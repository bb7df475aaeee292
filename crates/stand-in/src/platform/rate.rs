//! Limits the rate of requests to the platform.

use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;

#[derive(Debug, Default)]
struct State {
    /// Time between two requests; zero for no limit.
    interval: Duration,
    /// Earliest time of the next request.
    next_at: Instant,
}

/// Spaces requests evenly at a rate. Requests over the rate wait in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    state: Mutex<State>,
}

impl Limiter {
    /// Sets the rate; 0 for no limit.
    pub(super) fn set_rate(&self, requests_per_sec: u32) {
        let interval = Duration::from_secs(1).checked_div(requests_per_sec);
        self.state.lock().interval = interval.unwrap_or_default();
    }

    /// Reserves the next free time for a request and returns it.
    pub(super) fn reserve(&self, now: Instant) -> Instant {
        let mut state = self.state.lock();
        let reserved_at = state.next_at.max(now);
        state.next_at = reserved_at + state.interval;
        reserved_at
    }
}
