//! How many requests a server may have at once, earned by answers.
//!
//! Invariants: the allowance is at least one and at most the slots of a warm server; a cold server
//! has an allowance of one; only answers raise it, and those of a cold server only while none in
//! between is slower than those of warm servers.

use std::time::Duration;

use clock::Instant;

/// How many requests a server may have at once.
#[derive(Clone, Debug)]
pub struct Ramp {
    slots: u32,
    /// The good answers that earn one more slot.
    price: u32,
    allowance: u32,
    /// The credit for good answers, in units of `1 / FULL` answers.
    good: u32,
    cold: bool,
    /// Since when the server is cold.
    cold_since: Instant,
    /// The answers since then.
    cold_answers: u32,
    frozen_until: Instant,
    /// The length of the last time without growth.
    freeze: Duration,
}

/// The longest time without growth, in units of the first.
const LONGEST_FREEZE: u32 = 16;

/// What an answer counts that is as fast as those of warm servers.
const FULL: u32 = 3;

/// What an answer of a cold server counts where no warm server has answered yet.
const PARTIAL: u32 = 1;

/// How long a cold start lasts at most: a server that is slow for longer is slow for good.
const LONGEST_START: Duration = Duration::from_secs(5);

/// The answers by which a cold start ends at the latest, once it has lasted for so long.
const LONGEST_START_ANSWERS: u32 = 32;

impl Ramp {
    /// Returns the ramp of a cold server that takes `slots` requests at once when it is warm, and
    /// earns each slot by `price` good answers.
    pub fn new(slots: u32, price: u32, now: Instant) -> Self {
        Self {
            slots: slots.max(1),
            price: price.max(1),
            allowance: 1,
            good: 0,
            cold: true,
            cold_since: now,
            cold_answers: 0,
            frozen_until: Instant::ZERO,
            freeze: Duration::ZERO,
        }
    }

    /// Returns the number of requests that the server may have at once.
    pub fn allowance(&self) -> u32 {
        self.allowance
    }

    /// Returns the number of requests that the server takes at once when it is warm.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns whether the server may be in a cold start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns whether the server has shown its usual speed: it is warm, or has been cold for longer
    /// than a cold start lasts.
    pub fn is_settled(&self, now: Instant) -> bool {
        let started = now >= self.cold_since + LONGEST_START;
        !self.cold || started && self.cold_answers >= LONGEST_START_ANSWERS
    }

    /// Sets the ramp back to that of a cold server.
    pub fn reset(&mut self, now: Instant) {
        self.allowance = 1;
        self.good = 0;
        self.cold = true;
        self.cold_since = now;
        self.cold_answers = 0;
    }

    /// Gives a server that proved not to be cold the allowance back that it had.
    pub fn restore(&mut self, allowance: u32) {
        self.allowance = allowance.clamp(1, self.slots);
        self.cold = false;
    }

    /// Counts an answer of a cold server.
    pub fn record_cold_response(&mut self) {
        self.cold_answers = self.cold_answers.saturating_add(1);
    }

    /// Counts an answer that was right and as fast as it should be.
    pub fn record_good(&mut self, now: Instant) {
        self.earn(FULL, now);
    }

    /// Counts an answer that was right, where it is not known how fast it should be.
    pub fn record_unrated(&mut self, now: Instant) {
        self.earn(PARTIAL, now);
    }

    /// Counts an answer of a cold server that was slower than those of warm ones.
    pub fn reset_progress(&mut self) {
        self.good = 0;
    }

    fn earn(&mut self, worth: u32, now: Instant) {
        if now < self.frozen_until {
            return;
        }
        self.good = self.good.saturating_add(worth);
        if self.good < self.price.saturating_mul(FULL) {
            return;
        }
        self.good = 0;
        self.cold = false;
        self.allowance = (self.allowance + 1).min(self.slots);
    }

    /// Counts a request that the server refused because of its load, and that was granted as the
    /// `load`th at the same time.
    ///
    /// The server bears less than that. The allowance doesn't grow for `pause`, and for twice as long as the
    /// last time if the server sheds again soon after that.
    pub fn record_shed(&mut self, load: u32, pause: Duration, now: Instant) {
        let borne = load.saturating_sub(1).max(1);
        self.allowance = self.allowance.min(borne);
        self.good = 0;
        if now >= self.frozen_until {
            self.freeze = self.next_freeze(pause, now);
        }
        self.frozen_until = now + self.freeze;
    }

    fn next_freeze(&self, pause: Duration, now: Instant) -> Duration {
        if now >= self.frozen_until + self.freeze {
            return pause;
        }
        let longest = pause.saturating_mul(LONGEST_FREEZE);
        self.freeze.saturating_mul(2).clamp(pause, longest)
    }
}
