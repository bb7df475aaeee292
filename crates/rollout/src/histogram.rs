//! Histograms of latencies.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 8.0;

/// The number of a bucket. Bucket `n` begins at a latency of `2^(n/8)` microseconds.
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

    /// Returns the lower bound of the bucket.
    pub(crate) fn start(self) -> Duration {
        Duration::from_secs_f64((f64::from(self.0) / BUCKETS_PER_OCTAVE).exp2() / 1e6)
    }
}

/// Counts of latencies in buckets of a constant ratio, so that histograms can be merged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Histogram(BTreeMap<Bucket, u64>);

impl Histogram {
    /// Counts `count` responses that took `latency` each.
    pub(crate) fn add(&mut self, latency: Duration, count: u64) {
        *self.0.entry(Bucket::of(latency)).or_default() += count;
    }

    /// Adds the counts of `other`.
    pub(crate) fn merge(&mut self, other: &Histogram) {
        for (bucket, count) in &other.0 {
            *self.0.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the number of responses.
    pub(crate) fn count(&self) -> u64 {
        self.0.values().sum()
    }

    /// Returns the number of responses that took `limit` or longer, to the precision of a bucket.
    pub(crate) fn count_from(&self, limit: Duration) -> u64 {
        self.0.range(Bucket::of(limit)..).map(|(_, n)| n).sum()
    }

    /// Returns the least latency that a share `quantile` of the responses does not exceed, to the
    /// precision of a bucket.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<Duration> {
        let rank = self.count() as f64 * quantile;
        let mut below = 0;
        let bucket = self.0.iter().find(|(_, count)| {
            below += *count;
            below as f64 >= rank
        });
        bucket.map(|(bucket, _)| bucket.start())
    }

    /// Halves all counts, so that older responses weigh less.
    pub(crate) fn halve(&mut self) {
        self.0.values_mut().for_each(|count| *count /= 2);
        self.0.retain(|_, count| *count > 0);
    }
}
