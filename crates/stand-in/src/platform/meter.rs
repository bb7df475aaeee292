//! How many calls a second the platform takes.

use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;

#[derive(Debug, Default)]
struct State {
    /// The time that each call takes up; zero for no limit.
    interval: Duration,
    /// When the next call can be taken.
    free_at: Instant,
}

/// Spaces calls out to a rate. Calls beyond it wait in the order that they came in.
#[derive(Debug, Default)]
pub(super) struct Meter {
    state: Mutex<State>,
}

impl Meter {
    /// Sets the calls taken a second; 0 for no limit.
    pub(super) fn set_rate(&self, calls: u32) {
        let interval = Duration::from_secs(1).checked_div(calls);
        self.state.lock().interval = interval.unwrap_or_default();
    }

    /// Takes up a place and returns when it comes.
    pub(super) fn take(&self, now: Instant) -> Instant {
        let mut state = self.state.lock();
        let place = state.free_at.max(now);
        state.free_at = place + state.interval;
        place
    }
}
