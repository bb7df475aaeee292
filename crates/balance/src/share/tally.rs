//! How many requests were passed on to servers.

use clock::Instant;

use super::{decay, Total, RECENT};

/// Counts of requests that decay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    asked: f64,
    refused: f64,
    at: Instant,
}

impl Tally {
    /// Counts a request that was passed on to a server or refused.
    pub(super) fn record(&mut self, passed_on: bool, now: Instant) {
        let factor = decay(now.since(self.at), RECENT);
        self.asked = self.asked * factor + 1.0;
        self.refused = self.refused * factor + f64::from(u8::from(!passed_on));
        self.at = self.at.max(now);
    }

    /// Returns the counts.
    pub(super) fn total(&self, now: Instant) -> Total {
        let total = Total {
            asked: self.asked as f32,
            refused: self.refused as f32,
        };
        total.scaled(decay(now.since(self.at), RECENT))
    }
}
