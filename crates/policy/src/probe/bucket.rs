//! The rate of probes.

use std::time::Duration;

use clock::Instant;

/// A token bucket that holds one probe.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    /// The time between two probes; none when there are no probes at all.
    interval: Option<Duration>,
    ready_at: Instant,
}

impl Bucket {
    /// Returns a bucket that gives one probe at once and then `rate` a second.
    pub(crate) fn new(rate: f64, now: Instant) -> Self {
        let interval = Duration::try_from_secs_f64(1.0 / rate).ok();
        Self {
            interval,
            ready_at: now,
        }
    }

    /// Returns when the next probe may go.
    pub(crate) fn ready_at(&self) -> Option<Instant> {
        self.interval.map(|_| self.ready_at)
    }

    /// Takes a probe, if one may go at `now`.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        if now < self.ready_at {
            return false;
        }
        // Rounded up to the clock's step, so that the rate is never exceeded.
        self.ready_at = now + interval + Duration::from_micros(1);
        true
    }
}
