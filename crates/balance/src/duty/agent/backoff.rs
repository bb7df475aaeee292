//! Delays between attempts.

use std::time::Duration;

use clock::Instant;

/// Exponential delays with full jitter between attempts that fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Backoff {
    failures: u32,
    until: Instant,
}

impl Backoff {
    /// Records a failure. `range` has the first and the longest delay, and `random` is drawn evenly
    /// from all numbers.
    pub(super) fn fail(&mut self, range: (Duration, Duration), random: u64, now: Instant) {
        const MAX_DOUBLINGS: u32 = 16;
        let longest = range.0 * (1 << self.failures.min(MAX_DOUBLINGS));
        let fraction = random as f64 / u64::MAX as f64;
        self.failures = self.failures.saturating_add(1);
        self.until = now + longest.min(range.1).mul_f64(fraction);
    }

    /// Records a success.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns when the next attempt may be made.
    pub(super) fn until(&self) -> Instant {
        self.until
    }

    /// Returns whether the last attempt failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
