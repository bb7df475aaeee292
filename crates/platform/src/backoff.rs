//! Pauses between retries.

use std::time::Duration;

use uuid::Uuid;

/// Exponential backoff with full jitter, as in M. Brooker, "Exponential Backoff And Jitter", 2015:
/// each pause is drawn evenly between zero and a bound that doubles up to a cap.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    cap: Duration,
    bound: Duration,
}

impl Backoff {
    /// Returns a backoff whose bound starts at `first` and grows up to `cap`.
    pub const fn new(first: Duration, cap: Duration) -> Self {
        Self {
            first,
            cap,
            bound: first,
        }
    }

    /// Returns the next pause, the share `random / u32::MAX` of the present bound.
    pub fn next(&mut self, random: u32) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(self.cap);
        bound.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }

    /// Starts again with the first bound, after a success.
    pub fn reset(&mut self) {
        self.bound = self.first;
    }
}

/// Returns a random number to draw a pause with.
pub fn random() -> u32 {
    let bytes = Uuid::new_v4().into_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
