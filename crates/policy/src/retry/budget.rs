//! Limits the share of the traffic that retries and hedges may add.

/// A token bucket that calls fill and from which retries and hedges take.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl Budget {
    /// Returns a full budget that gains `share` of a retry with each call, up to `burst` retries.
    ///
    /// `share` is clamped to the range from 0 to 1; NaN counts as 0.
    pub fn new(share: f64, burst: u32) -> Self {
        let share = if share.is_nan() { 0.0 } else { share };
        let burst = f64::from(burst);
        Self {
            share: share.clamp(0.0, 1.0),
            burst,
            tokens: burst,
        }
    }

    /// Adds the share of one call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry or hedge from the budget, and returns whether there was one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        // Ten deposits of 0.1 add up to slightly less than 1.
        const ROUNDING: f64 = 1e-9;
        if self.tokens + ROUNDING < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
