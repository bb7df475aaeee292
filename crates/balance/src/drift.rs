//! Detects that requests to a new version have become slow.
//!
//! A sequential test of two hypotheses: the new version misses the latency objective as often as
//! the old one, or clearly more often. Evidence in favour of the new version is bounded, so that a
//! version that turns slow late, or under load, is found as soon as one that was slow from the
//! start.

use crate::verdict::{Tally, Verdict};

/// The least share of late requests that is expected of any version. New servers are slow for some
/// seconds, and few of them share machines with other workloads.
const MIN_LATE_SHARE: f64 = 0.15;

/// The share of the requests that a slow version makes late, of those that would be in time.
const SLOW_SHARE: f64 = 0.3;

/// The logarithm of the odds at which a version is bad.
const BAD_SCORE: f64 = 4.0;

/// The logarithm of the odds at which a version is good.
const GOOD_SCORE: f64 = -1.5;

/// The lower bound of the score.
const MIN_SCORE: f64 = -2.5;

/// The evidence that a new version is slow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drift {
    late: u32,
    in_time: u32,
    score: f64,
}

impl Drift {
    /// Takes the requests that `tally` has in addition to the previous one.
    pub fn update(&mut self, tally: &Tally) {
        let (late, in_time) = (tally.new.missed(), tally.new.in_time());
        let usual = tally.old.late_share().max(MIN_LATE_SHARE);
        let slow = usual + SLOW_SHARE * (1.0 - usual);
        let late_weight = (slow / usual).ln();
        let in_time_weight = ((1.0 - slow) / (1.0 - usual).max(f64::EPSILON)).ln();
        // The counts of an instance that has ended are missing from the sum.
        let added = f64::from(late.saturating_sub(self.late)) * late_weight
            + f64::from(in_time.saturating_sub(self.in_time)) * in_time_weight;
        self.score = (self.score + added).max(MIN_SCORE);
        (self.late, self.in_time) = (late, in_time);
    }

    /// Returns the verdict on the new version's speed.
    pub fn verdict(&self) -> Verdict {
        if self.score >= BAD_SCORE {
            Verdict::Bad
        } else if self.score <= GOOD_SCORE {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }
}
