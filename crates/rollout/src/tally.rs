//! Counted responses.

use serde::{Deserialize, Serialize};

use crate::histogram::Histogram;
use crate::sample::{Outcome, Sample};

/// Counted responses of one origin. Tallies can be merged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The number of responses.
    pub calls: u64,
    /// The number of responses that failed.
    pub failed: u64,
    /// The latencies of successful responses of warm servers.
    pub(crate) latencies: Histogram,
}

impl Tally {
    /// Counts `sample`.
    pub fn observe(&mut self, sample: &Sample) {
        self.calls += sample.count;
        match sample.outcome {
            Outcome::Failure => self.failed += sample.count,
            // A failure is immediate or takes its whole time limit; neither measures the latency.
            Outcome::Success if sample.warm => self.latencies.add(sample.latency, sample.count),
            Outcome::Success => {}
        }
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Tally) {
        self.calls += other.calls;
        self.failed += other.failed;
        self.latencies.merge(&other.latencies);
    }
}
