//! How many requests a server may have at once, earned by answers.
//!
//! Invariants: the allowance is at least one and at most the slots of a warm server; a cold server
//! has an allowance of one; only answers raise it.

use std::time::Duration;

use clock::Instant;

/// How many requests a server may have at once.
#[derive(Clone, Debug)]
pub struct Ramp {
    slots: u32,
    /// The good answers that earn one more slot.
    price: u32,
    allowance: u32,
    good: u32,
    cold: bool,
    frozen_until: Instant,
}

impl Ramp {
    /// Returns the ramp of a cold server that takes `slots` requests at once when it is warm, and
    /// earns each slot by `price` good answers.
    pub fn new(slots: u32, price: u32) -> Self {
        Self {
            slots: slots.max(1),
            price: price.max(1),
            allowance: 1,
            good: 0,
            cold: true,
            frozen_until: Instant::ZERO,
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

    /// Sets the ramp back to that of a cold server.
    pub fn chill(&mut self) {
        self.allowance = 1;
        self.good = 0;
        self.cold = true;
    }

    /// Counts an answer that was right and no slower than it should be.
    pub fn reward(&mut self, now: Instant) {
        if now < self.frozen_until {
            return;
        }
        self.good = self.good.saturating_add(1);
        if self.good < self.price {
            return;
        }
        self.good = 0;
        self.cold = false;
        self.allowance = (self.allowance + 1).min(self.slots);
    }

    /// Counts a request that the server refused because of its load, while it had `live` requests.
    ///
    /// It bears less than that. The allowance doesn't grow for `pause`.
    pub fn shed(&mut self, live: u32, pause: Duration, now: Instant) {
        let borne = live.min(self.allowance).saturating_sub(1);
        self.allowance = borne.max(1);
        self.good = 0;
        self.frozen_until = now + pause;
    }
}
