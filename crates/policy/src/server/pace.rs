//! How fast a server answers, against its peers and its own past.
//!
//! Latencies of different routes are made comparable by dividing each by the usual latency of its
//! route in the pool: a ratio of 1 is what peers show.

use std::time::Duration;

use clock::Instant;

/// The ratio at or above which an answer may be part of a jump.
const JUMP: f64 = 4.0;

/// The answers in a row that make a jump.
const JUMP_ANSWERS: u32 = 3;

/// The ratio up to which an answer earns a larger allowance.
const GROWTH: f64 = 3.0;

/// The same for a server that may be in a cold start.
const WARM: f64 = 1.5;

/// The largest ratio that counts; the rest is noise.
const LARGEST: f64 = 64.0;

/// The weight of an answer that is slower than the recent ones.
const WEIGHT_UP: f64 = 0.5;

/// The weight of an answer that is faster than the recent ones.
const WEIGHT_DOWN: f64 = 0.125;

/// The weight of an answer in the long-term ratio.
const WEIGHT_USUAL: f64 = 1.0 / 32.0;

/// The steps of a ratio in comparisons: nearer ones are equal, so that equal servers take turns.
const STEPS: f64 = 4.0;

/// The steps of a ratio of 1.
pub(crate) const EVEN: u64 = STEPS as u64;

/// How long a ratio stands without new feedback before it moves halfway back to 1.
const RELAX_AFTER: Duration = Duration::from_secs(1);

/// How fast a server answers.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    recent: f64,
    usual: f64,
    jumps: u32,
    latency: Duration,
    updated: Instant,
}

impl Pace {
    /// Returns the pace of a server that has not answered yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            recent: 1.0,
            usual: 1.0,
            jumps: 0,
            latency: Duration::ZERO,
            updated: now,
        }
    }

    /// Returns the latency of the last answers, weighted towards the latest.
    pub(crate) fn latency(&self) -> Duration {
        self.latency
    }

    /// Returns the recent ratio in steps, at least one.
    pub(crate) fn steps(&self) -> u64 {
        let steps = (self.recent * STEPS).round();
        // The ratio is between 0 and `LARGEST`.
        (steps as u64).max(1)
    }

    /// Counts an answer, and returns whether it completes a jump.
    ///
    /// The long-term ratio stands until the server has `settled`: what it shows in a cold start is
    /// not its own speed.
    pub(crate) fn answer(
        &mut self,
        ratio: f64,
        latency: Duration,
        settled: bool,
        now: Instant,
    ) -> bool {
        let jumped = ratio >= JUMP * self.usual.max(1.0);
        self.jumps = if jumped { self.jumps + 1 } else { 0 };
        if settled {
            self.usual += (ratio.min(LARGEST) - self.usual) * WEIGHT_USUAL;
        }
        self.smooth_latency(latency);
        self.observe(ratio, now);
        if self.jumps < JUMP_ANSWERS {
            return false;
        }
        self.jumps = 0;
        true
    }

    /// Forgets the recent ratio: the server came back.
    pub(crate) fn reset(&mut self) {
        self.recent = 1.0;
    }

    /// Counts an attempt without an answer as if it had been answered at `ratio`.
    pub(crate) fn observe(&mut self, ratio: f64, now: Instant) {
        let ratio = ratio.clamp(0.0, LARGEST);
        let weight = if ratio > self.recent {
            WEIGHT_UP
        } else {
            WEIGHT_DOWN
        };
        self.recent += (ratio - self.recent) * weight;
        self.updated = now;
    }

    /// Counts an attempt that was broken off at `ratio`, which shows only that it was no faster.
    pub(crate) fn observe_at_least(&mut self, ratio: f64, now: Instant) {
        if ratio > self.recent {
            self.observe(ratio, now);
        }
    }

    /// Returns whether an answer at `ratio` earns a larger allowance.
    pub(crate) fn is_good(&self, ratio: f64) -> bool {
        ratio <= GROWTH * self.usual.max(1.0)
    }

    /// Returns whether an answer at `ratio` is as fast as those of warm servers.
    pub(crate) fn is_warm(&self, ratio: f64) -> bool {
        ratio <= WARM * self.usual.max(1.0)
    }

    /// Returns when the ratio moves back towards 1, unless feedback comes first.
    pub(crate) fn relaxes(&self) -> Option<Instant> {
        (self.steps() != EVEN).then(|| self.updated + RELAX_AFTER)
    }

    /// Moves the ratio back towards 1 if that is due at `now`.
    pub(crate) fn relax(&mut self, now: Instant) {
        if self.relaxes().is_some_and(|due| due <= now) {
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
