//! Counted answers.

use serde::{Deserialize, Serialize};

use crate::histogram::Histogram;
use crate::sample::{Outcome, Sample};

/// Counted answers of one origin. Tallies can be added up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The number of answers.
    pub calls: u64,
    /// The number of them that failed.
    pub failed: u64,
    /// The latencies of good answers of warm servers.
    pub(crate) latencies: Histogram,
}

impl Tally {
    /// Counts `sample`.
    pub fn observe(&mut self, sample: &Sample) {
        self.calls += sample.count;
        match sample.outcome {
            Outcome::Failure => self.failed += sample.count,
            // A failure is quick or as slow as its time limit: neither tells of latency.
            Outcome::Success if sample.warm => self.latencies.add(sample.latency, sample.count),
            Outcome::Success => {}
        }
    }

    /// Adds what `other` has counted.
    pub fn merge(&mut self, other: &Tally) {
        self.calls += other.calls;
        self.failed += other.failed;
        self.latencies.merge(&other.latencies);
    }
}
