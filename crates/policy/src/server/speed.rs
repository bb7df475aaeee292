//! How fast a server responds, compared with its peers and its own past.
//!
//! Latencies of different routes are made comparable by dividing each by its route's baseline in
//! the pool. A ratio of 1 means as fast as the peers; larger ratios are slower.

use std::time::Duration;

use clock::Instant;

/// Ratio from which a response counts towards a jump in latency, relative to the long-term ratio.
const JUMP_RATIO: f64 = 4.0;

/// Number of consecutive slow responses that make a jump in latency.
const JUMP_RESPONSES: u32 = 3;

/// Ratio up to which a response of a warm server counts towards a larger allowance, relative to the
/// long-term ratio.
const GROWTH_RATIO: f64 = 3.0;

/// Ratio up to which a response of a cold server counts towards a larger allowance, relative to the
/// long-term ratio.
const WARM_RATIO: f64 = 1.5;

/// Upper bound of ratios. Differences above it are noise.
const MAX_RATIO: f64 = 64.0;

/// Weight of a response that is slower than the recent ratio.
const WEIGHT_UP: f64 = 0.5;

/// Weight of a response that is faster than the recent ratio.
const WEIGHT_DOWN: f64 = 0.125;

/// Weight of a response in the long-term ratio.
const WEIGHT_LONG_TERM: f64 = 1.0 / 32.0;

/// Number of comparison steps per unit of the ratio. Ratios within one step compare as equal, so
/// that requests alternate between servers of about the same speed.
const STEPS_PER_RATIO: f64 = 4.0;

/// The slowness of a server whose ratio is 1.
pub(crate) const BASE_SLOWNESS: u64 = STEPS_PER_RATIO as u64;

/// Time without feedback after which the recent ratio moves halfway back to 1.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// How fast a server responds.
#[derive(Clone, Debug)]
pub(crate) struct Speed {
    recent: f64,
    long_term: f64,
    slow_responses: u32,
    latency: Duration,
    updated: Instant,
}

impl Speed {
    /// Returns the speed of a server that has not responded yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            recent: 1.0,
            long_term: 1.0,
            slow_responses: 0,
            latency: Duration::ZERO,
            updated: now,
        }
    }

    /// Returns the moving average of the latency, weighted towards recent responses.
    pub(crate) fn latency(&self) -> Duration {
        self.latency
    }

    /// Returns the recent ratio in comparison steps, at least one.
    pub(crate) fn slowness(&self) -> u64 {
        let steps = (self.recent * STEPS_PER_RATIO).round();
        // The ratio is between 0 and `MAX_RATIO`.
        (steps as u64).max(1)
    }

    /// Records a response, and returns whether it completes a jump in latency.
    ///
    /// The long-term ratio only changes once the server has `settled`, because responses during a
    /// cold start do not reflect the server's usual speed.
    pub(crate) fn record_response(
        &mut self,
        ratio: f64,
        latency: Duration,
        settled: bool,
        now: Instant,
    ) -> bool {
        let is_slow = ratio >= JUMP_RATIO * self.long_term.max(1.0);
        self.slow_responses = if is_slow { self.slow_responses + 1 } else { 0 };
        if settled {
            self.long_term += (ratio.min(MAX_RATIO) - self.long_term) * WEIGHT_LONG_TERM;
        }
        self.smooth_latency(latency);
        self.record_ratio(ratio, now);
        if self.slow_responses < JUMP_RESPONSES {
            return false;
        }
        self.slow_responses = 0;
        true
    }

    /// Resets the recent ratio to 1.
    pub(crate) fn reset_recent(&mut self) {
        self.recent = 1.0;
    }

    /// Records `ratio` in the recent ratio, also for an attempt without a response.
    pub(crate) fn record_ratio(&mut self, ratio: f64, now: Instant) {
        let ratio = ratio.clamp(0.0, MAX_RATIO);
        let weight = if ratio > self.recent {
            WEIGHT_UP
        } else {
            WEIGHT_DOWN
        };
        self.recent += (ratio - self.recent) * weight;
        self.updated = now;
    }

    /// Records an attempt that was cancelled at `ratio`, which is only a lower bound.
    pub(crate) fn record_minimum(&mut self, ratio: f64, now: Instant) {
        if ratio > self.recent {
            self.record_ratio(ratio, now);
        }
    }

    /// Returns whether a response at `ratio` counts towards a larger allowance.
    pub(crate) fn is_good(&self, ratio: f64) -> bool {
        ratio <= GROWTH_RATIO * self.long_term.max(1.0)
    }

    /// Returns whether a response at `ratio` is as fast as those of warm servers.
    pub(crate) fn is_warm(&self, ratio: f64) -> bool {
        ratio <= WARM_RATIO * self.long_term.max(1.0)
    }

    /// Returns when the recent ratio moves back towards 1 unless feedback arrives first.
    pub(crate) fn next_decay(&self) -> Option<Instant> {
        (self.slowness() != BASE_SLOWNESS).then(|| self.updated + DECAY_INTERVAL)
    }

    /// Moves the recent ratio halfway back to 1 if that is due at `now`.
    pub(crate) fn decay(&mut self, now: Instant) {
        if self.next_decay().is_some_and(|due| due <= now) {
            self.recent = f64::midpoint(self.recent, 1.0);
            self.updated = now;
        }
    }

    fn smooth_latency(&mut self, latency: Duration) {
        self.latency = match self.latency {
            Duration::ZERO => latency,
            recent => recent.mul_f64(0.75).saturating_add(latency.mul_f64(0.25)),
        };
    }
}
