//! The share of the traffic that retries and hedges may add.

/// A token bucket that calls fill and that retries and hedges empty.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl Budget {
    /// Returns a full budget that gains `share` of a retry with each call, up to `burst` retries.
    ///
    /// A `share` outside of 0 to 1 is brought within it.
    pub fn new(share: f64, burst: u32) -> Self {
        let share = if share.is_nan() { 0.0 } else { share };
        let burst = f64::from(burst);
        Self {
            share: share.clamp(0.0, 1.0),
            burst,
            tokens: burst,
        }
    }

    /// Counts one call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry or hedge from the budget, if it has one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        // Deposits of a tenth add up to a hair less than one.
        const ROUNDING: f64 = 1e-9;
        if self.tokens + ROUNDING < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
