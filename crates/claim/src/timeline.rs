//! Log time.

use std::time::Duration;

use clock::Instant;

/// Log time: the time for which the log has had owners.
///
/// Clocks of different owners cannot be compared. Each one counts on from the last segment that it
/// has read. The gap between owners is left out, which keeps entries longer and never shorter.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    /// Log time at `seen`.
    time: Duration,
    /// The latest instant of the owner's clock.
    seen: Option<Instant>,
}

impl Timeline {
    /// Returns log time at the latest instant that was seen, in whole milliseconds as it is stored.
    pub(crate) fn now(&self) -> Duration {
        let micros = u64::try_from(self.time.as_micros()).unwrap_or(u64::MAX);
        Duration::from_millis(micros.div_ceil(1000))
    }

    /// Moves on to `now` and returns log time there.
    pub(crate) fn advance(&mut self, now: Instant) -> Duration {
        let seen = self.seen.map_or(now, |seen| seen.max(now));
        self.time += seen - self.seen.unwrap_or(seen);
        self.seen = Some(seen);
        self.now()
    }

    /// Moves on to the time of a segment that was read.
    pub(crate) fn reach(&mut self, time: Duration) {
        self.time = self.time.max(time);
    }
}
