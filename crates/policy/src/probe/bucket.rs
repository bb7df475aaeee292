//! Limits the rate of probes.

use std::time::Duration;

use clock::Instant;

/// A token bucket with a capacity of one probe.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    /// The minimum time between two probes; `None` disables probes.
    interval: Option<Duration>,
    ready_at: Instant,
}

impl Bucket {
    /// Returns a bucket that allows one probe immediately and then `rate` per second.
    pub(crate) fn new(rate: f64, now: Instant) -> Self {
        let interval = Duration::try_from_secs_f64(1.0 / rate).ok();
        Self {
            interval,
            ready_at: now,
        }
    }

    /// Returns when the next probe may be sent.
    pub(crate) fn ready_at(&self) -> Option<Instant> {
        self.interval.map(|_| self.ready_at)
    }

    /// Takes a probe, and returns whether one may be sent at `now`.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        if now < self.ready_at {
            return false;
        }
        // Rounded up to the clock's resolution, so that the rate is never exceeded.
        self.ready_at = now + interval + Duration::from_micros(1);
        true
    }
}
