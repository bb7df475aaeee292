//! Log time, by which entries expire.

use std::time::Duration;

use clock::Instant;

/// Log time: the total time during which the log has had an owner.
///
/// Clocks of different owners cannot be compared, so each owner continues from the time of the last
/// segment that it has replayed. Gaps between owners are not counted, so entries may be kept longer
/// than the retention time but never shorter.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    /// The log time at `latest`.
    time: Duration,
    /// The latest instant of the owner's clock. `None` until the first `advance`.
    latest: Option<Instant>,
}

impl Timeline {
    /// Returns the log time at `latest`, rounded up to whole milliseconds, as times are stored.
    pub(crate) fn now(&self) -> Duration {
        let micros = u64::try_from(self.time.as_micros()).unwrap_or(u64::MAX);
        Duration::from_millis(micros.div_ceil(1000))
    }

    /// Advances to `now`, unless that is earlier than the latest instant, and returns the log time.
    pub(crate) fn advance(&mut self, now: Instant) -> Duration {
        let latest = self.latest.map_or(now, |latest| latest.max(now));
        self.time += latest - self.latest.unwrap_or(latest);
        self.latest = Some(latest);
        self.now()
    }

    /// Advances to the log time of a replayed segment, unless that is earlier.
    pub(crate) fn advance_to(&mut self, time: Duration) {
        self.time = self.time.max(time);
    }
}
