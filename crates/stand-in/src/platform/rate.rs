//! How many calls a second the platform takes.

use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;

#[derive(Debug, Default)]
struct State {
    /// The time that each call takes up; zero for no limit.
    interval: Duration,
    /// When the next call can be taken.
    next_at: Instant,
}

/// Spaces calls out to a rate. Calls beyond it wait in the order that they came in.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    state: Mutex<State>,
}

impl Limiter {
    /// Sets the calls taken a second; 0 for no limit.
    pub(super) fn set_rate(&self, requests_per_sec: u32) {
        let interval = Duration::from_secs(1).checked_div(requests_per_sec);
        self.state.lock().interval = interval.unwrap_or_default();
    }

    /// Takes up a place and returns when it comes.
    pub(super) fn reserve(&self, now: Instant) -> Instant {
        let mut state = self.state.lock();
        let reserved_at = state.next_at.max(now);
        state.next_at = reserved_at + state.interval;
        reserved_at
    }
}
