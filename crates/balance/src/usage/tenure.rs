//! How long an instance has been the first collector.

use std::time::Duration;

use clock::Instant;

/// How long an instance is the first collector before it writes sums. Instances that start together take
/// themselves for the first until they have heard of each other; with 120 of them, that was 240
/// needless calls of the store.
pub const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// How long an instance has been the first collector.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tenure {
    since: Option<Instant>,
}

impl Tenure {
    /// Records whether the instance is the first collector now. Returns whether it has been for
    /// [`SETTLING_TIME`].
    pub fn update(&mut self, is_first: bool, now: Instant) -> bool {
        if !is_first {
            self.since = None;
            return false;
        }
        now.since(*self.since.get_or_insert(now)) >= SETTLING_TIME
    }
}
