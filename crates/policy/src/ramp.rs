//! The ramp-up of a server's allowance: how many concurrent requests it may have.
//!
//! Invariants: the allowance is at least one and at most the slots of a warm server; a cold server
//! has an allowance of one; only responses raise it, and a cold server becomes warm only after
//! enough responses in a row, none of them slower than those of warm servers.

use std::time::Duration;

use clock::Instant;

/// The number of concurrent requests that a server may have, which grows with good responses.
#[derive(Clone, Debug)]
pub struct Ramp {
    slots: u32,
    /// The good responses after which the allowance grows by one.
    growth_responses: u32,
    allowance: u32,
    /// The progress towards the next growth, in units of `1 / GOOD_PROGRESS` good responses.
    progress: u32,
    cold: bool,
    /// When the server last became cold.
    cold_since: Instant,
    /// The number of responses since then.
    cold_responses: u32,
    backoff_until: Instant,
    /// The duration of the last backoff of growth.
    backoff: Duration,
}

/// Maximum backoff of growth, in multiples of the first.
const MAX_BACKOFF_FACTOR: u32 = 16;

/// Progress for a response that is as fast as those of warm servers.
const GOOD_PROGRESS: u32 = 3;

/// Progress for a response of a cold server while no warm server has responded yet.
const UNRATED_PROGRESS: u32 = 1;

/// Minimum time after which a cold server is settled: a cold start does not last longer, so a
/// server that is still slow is slow permanently.
const SETTLED_AFTER: Duration = Duration::from_secs(5);

/// Minimum number of responses after which a cold server is settled.
const SETTLED_RESPONSES: u32 = 32;

impl Ramp {
    /// Returns the ramp of a cold server that takes `slots` concurrent requests when it is warm.
    /// Its allowance grows by one with every `growth_responses` good responses.
    pub fn new(slots: u32, growth_responses: u32, now: Instant) -> Self {
        Self {
            slots: slots.max(1),
            growth_responses: growth_responses.max(1),
            allowance: 1,
            progress: 0,
            cold: true,
            cold_since: now,
            cold_responses: 0,
            backoff_until: Instant::ZERO,
            backoff: Duration::ZERO,
        }
    }

    /// Returns the number of concurrent requests that the server may have.
    pub fn allowance(&self) -> u32 {
        self.allowance
    }

    /// Returns the number of concurrent requests that the server takes when it is warm.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns whether the server may be in a cold start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns whether responses reflect the server's usual speed: it is warm, or has been cold for
    /// longer than a cold start lasts.
    pub fn is_settled(&self, now: Instant) -> bool {
        let elapsed = now >= self.cold_since + SETTLED_AFTER;
        !self.cold || elapsed && self.cold_responses >= SETTLED_RESPONSES
    }

    /// Resets the ramp to that of a cold server.
    pub fn reset(&mut self, now: Instant) {
        self.allowance = 1;
        self.progress = 0;
        self.cold = true;
        self.cold_since = now;
        self.cold_responses = 0;
    }

    /// Restores the earlier allowance of a server that turned out not to be cold.
    pub fn restore(&mut self, allowance: u32) {
        self.allowance = allowance.clamp(1, self.slots);
        self.cold = false;
    }

    /// Counts a response of a cold server.
    pub fn record_cold_response(&mut self) {
        self.cold_responses = self.cold_responses.saturating_add(1);
    }

    /// Records a successful response that was as fast as expected.
    pub fn record_good(&mut self, now: Instant) {
        self.add_progress(GOOD_PROGRESS, now);
    }

    /// Records a successful response while the expected latency is unknown.
    pub fn record_unrated(&mut self, now: Instant) {
        self.add_progress(UNRATED_PROGRESS, now);
    }

    /// Records a response of a cold server that was slower than those of warm ones, which resets
    /// the progress.
    pub fn reset_progress(&mut self) {
        self.progress = 0;
    }

    fn add_progress(&mut self, progress: u32, now: Instant) {
        if now < self.backoff_until {
            return;
        }
        self.progress = self.progress.saturating_add(progress);
        if self.progress < self.growth_responses.saturating_mul(GOOD_PROGRESS) {
            return;
        }
        self.progress = 0;
        self.cold = false;
        self.allowance = (self.allowance + 1).min(self.slots);
    }

    /// Records that the server shed a request that was the `load`th concurrent one when it was
    /// granted.
    ///
    /// The allowance falls below `load`, but not below one. It does not grow for `base_backoff`, or
    /// for twice the previous backoff if the server sheds again soon after that one ended.
    pub fn record_shed(&mut self, load: u32, base_backoff: Duration, now: Instant) {
        let limit = load.saturating_sub(1).max(1);
        self.allowance = self.allowance.min(limit);
        self.progress = 0;
        if now >= self.backoff_until {
            self.backoff = self.next_backoff(base_backoff, now);
        }
        self.backoff_until = now + self.backoff;
    }

    fn next_backoff(&self, base_backoff: Duration, now: Instant) -> Duration {
        if now >= self.backoff_until + self.backoff {
            return base_backoff;
        }
        let max_backoff = base_backoff.saturating_mul(MAX_BACKOFF_FACTOR);
        self.backoff
            .saturating_mul(2)
            .clamp(base_backoff, max_backoff)
    }
}
