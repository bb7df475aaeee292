//! Leases on something that only one instance may do at a time.

use std::time::Duration;

use clock::Instant;

/// A lease that a conditional write to the store has granted.
///
/// It counts from the start of the write: whoever waits for its end begins to count once it sees the
/// write, which cannot be earlier. The instants must come from a clock that includes suspended time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    from: Instant,
    time: Duration,
    margin: Duration,
}

impl Lease {
    /// Returns the lease of `time` that the write started at `from` has granted. Its holder does not
    /// act in its last `margin`.
    pub fn new(from: Instant, time: Duration, margin: Duration) -> Self {
        Self { from, time, margin }
    }

    /// Returns until when the holder may act.
    pub fn act_until(&self) -> Instant {
        self.from + self.time.saturating_sub(self.margin)
    }

    /// Returns when the lease has expired, so that another instance may have taken over.
    pub fn expires_at(&self) -> Instant {
        self.from + self.time
    }

    /// Returns how long the holder may act from `now` on.
    pub fn time_to_act(&self, now: Instant) -> Duration {
        self.act_until().since(now)
    }

    /// Returns how long ago the lease was granted.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.from)
    }
}
