//! Latency quantiles of one run.

use std::time::Duration;

use crate::tally::Tally;

/// The reported quantiles.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];

/// The latency at each reported quantile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary(pub [Duration; 3]);

impl Summary {
    /// Returns the latency quantiles of `tally`.
    pub fn of(tally: &Tally) -> Self {
        let mut sorted = tally.latencies.clone();
        sorted.sort_unstable();
        Self(QUANTILES.map(|q| quantile(&sorted, q)))
    }

    /// Returns the ratio of each quantile to the same quantile of `ideal`.
    pub fn ratios(&self, ideal: &Self) -> [f64; 3] {
        let pairs = [0, 1, 2].map(|n| (self.0[n], ideal.0[n]));
        pairs.map(|(own, other)| own.as_secs_f64() / other.as_secs_f64())
    }
}

fn quantile(sorted: &[Duration], q: f64) -> Duration {
    let index = (sorted.len() as f64 * q) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or_default()
}
