//! Whether a new version of a service answers like the old one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The answers of the two versions of a service on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answers {
    /// Requests that ended.
    pub ended: u32,
    /// Requests that failed.
    pub failed: u32,
    /// The time that the answered ones took, in milliseconds, divided by the pace that the server
    /// reported.
    pub millis: u64,
}

impl Answers {
    /// Adds one request.
    pub fn count(&mut self, failed: bool, took: Duration) {
        self.ended += 1;
        self.failed += u32::from(failed);
        self.millis += u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    }

    /// Adds those of another instance.
    pub fn add(&mut self, other: &Answers) {
        self.ended += other.ended;
        self.failed += other.failed;
        self.millis += other.millis;
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.ended.max(1))
    }

    fn mean_millis(&self) -> f64 {
        self.millis as f64 / f64::from(self.ended.max(1))
    }
}

/// The answers of both versions of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Those of the version that requests came from.
    pub old: Answers,
    /// Those of the new version.
    pub new: Answers,
}

/// The answers of the new version before anything is said for it.
const LEAST_ANSWERS: u32 = 12;

/// Failures of the new version beyond those expected of the old one that take it back.
const EXCESS_FAILURES: f64 = 3.5;

/// How much longer the new version may take. A co-located neighbour slows a server down by a few
/// times for a while; an average over many servers stays well below this.
const SLOWER: f64 = 2.2;

/// Answers of the new version before its time is judged.
const LEAST_TIMED: u32 = 8;

/// What the answers say of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known.
    Open,
    /// It answers like the old one so far.
    Good,
    /// It fails more often, or is much slower.
    Bad,
}

impl Tally {
    /// Adds the answers that another instance saw.
    pub fn add(&mut self, other: &Tally) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns what the answers say of the new version.
    pub fn verdict(&self) -> Verdict {
        let new = &self.new;
        let expected = self.old.failure_share().min(0.5) * f64::from(new.ended);
        // The deviation of a count grows with its root.
        if f64::from(new.failed) > expected + EXCESS_FAILURES + 2.0 * expected.sqrt() {
            return Verdict::Bad;
        }
        let timed = new.ended >= LEAST_TIMED && self.old.ended >= LEAST_TIMED;
        if timed && new.mean_millis() > SLOWER * self.old.mean_millis() {
            return Verdict::Bad;
        }
        if new.ended >= LEAST_ANSWERS {
            Verdict::Good
        } else {
            Verdict::Open
        }
    }
}
