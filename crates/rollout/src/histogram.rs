//! Counts of latencies in buckets.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of buckets in which a latency doubles.
const BUCKETS_PER_OCTAVE: f64 = 8.0;

/// The number of a bucket. Bucket `n` holds latencies from `2^(n/8)` microseconds on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Bucket(u16);

impl Bucket {
    /// Returns the bucket of `latency`.
    pub(crate) fn of(latency: Duration) -> Self {
        let micros = (latency.as_secs_f64() * 1e6).max(1.0);
        // The logarithm of any duration in microseconds is far below `u16::MAX / 8`.
        Self((micros.log2() * BUCKETS_PER_OCTAVE) as u16)
    }

    /// Returns the least latency in the bucket.
    pub(crate) fn start(self) -> Duration {
        Duration::from_secs_f64((f64::from(self.0) / BUCKETS_PER_OCTAVE).exp2() / 1e6)
    }
}

/// Counts of latencies in buckets of a constant ratio. Histograms can be added up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Histogram(BTreeMap<Bucket, u64>);

impl Histogram {
    /// Counts `count` answers that took `latency` each.
    pub(crate) fn add(&mut self, latency: Duration, count: u64) {
        *self.0.entry(Bucket::of(latency)).or_default() += count;
    }

    /// Adds what `other` has counted.
    pub(crate) fn merge(&mut self, other: &Histogram) {
        for (bucket, count) in &other.0 {
            *self.0.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the number of answers.
    pub(crate) fn count(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the number of answers that took `limit` or longer, to the precision of a bucket.
    pub(crate) fn count_from(&self, limit: Duration) -> u64 {
        self.0.range(Bucket::of(limit)..).map(|(_, n)| n).sum()
    }

    /// Returns the least latency that is not exceeded by a share `quantile` of the answers.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<Duration> {
        let rank = self.count() as f64 * quantile;
        let mut below = 0;
        let bucket = self.0.iter().find(|(_, count)| {
            below += *count;
            below as f64 >= rank
        });
        bucket.map(|(bucket, _)| bucket.start())
    }

    /// Halves all counts, so that older answers weigh less.
    pub(crate) fn halve(&mut self) {
        self.0.values_mut().for_each(|count| *count /= 2);
        self.0.retain(|_, count| *count > 0);
    }
}
