//! Counted responses of one version on one route.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// Counted responses of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// The number of responses.
    pub calls: u64,
    /// The number of responses that failed.
    pub failed: u64,
    /// The number of successful responses of warm servers whose latency was compared with the slow
    /// limit.
    pub timed: u64,
    /// The number of timed responses whose latency reached the slow limit.
    pub slow: u64,
}

impl Counts {
    /// Returns the share of responses that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        rate(self.failed, self.calls)
    }

    /// Returns the share of timed responses that were slow, from 0 to 1.
    pub fn slow_rate(&self) -> f64 {
        rate(self.slow, self.timed)
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.calls += other.calls;
        self.failed += other.failed;
        self.timed += other.timed;
        self.slow += other.slow;
    }
}

/// Returns `part / whole`, or 0 if `whole` is 0.
fn rate(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
