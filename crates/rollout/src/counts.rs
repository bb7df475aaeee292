//! What a comparison counts of one version.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// What a comparison counts of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// The number of answers.
    pub calls: u64,
    /// The number of them that failed.
    pub failed: u64,
    /// The number of good answers of warm servers that were timed against the limit.
    pub timed: u64,
    /// The number of timed answers that reached the limit.
    pub slow: u64,
}

impl Counts {
    /// Returns the share of answers that failed.
    pub fn failure_rate(&self) -> f64 {
        rate(self.failed, self.calls)
    }

    /// Returns the share of timed answers that were slow.
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

/// Returns `part` as a share of `whole`, which may be 0.
fn rate(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
