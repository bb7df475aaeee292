//! Delays between retries.

use std::time::Duration;

use uuid::Uuid;

/// Exponential backoff with full jitter, as in M. Brooker, "Exponential Backoff And Jitter", 2015:
/// each delay is drawn uniformly between zero and a bound that doubles up to a cap.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    bound: Duration,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `base` and doubles up to `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            bound: base,
        }
    }

    /// Returns the next delay: the fraction `random / u32::MAX` of the current bound.
    pub fn next(&mut self, random: u32) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(self.cap);
        bound.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }

    /// Resets the bound to the base, after a success.
    pub fn reset(&mut self) {
        self.bound = self.base;
    }
}

/// Returns a random number for [`Backoff::next`].
pub fn random() -> u32 {
    let bytes = Uuid::new_v4().into_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
