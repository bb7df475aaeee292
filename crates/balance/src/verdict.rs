//! Whether a new version of a service answers like the old one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The answers of the two versions of a service on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Requests that ended.
    #[serde(rename = "ended")]
    pub requests: u32,
    /// Requests that failed.
    #[serde(rename = "failed")]
    pub failures: u32,
    /// The time that the answered ones took, in milliseconds, divided by the pace that the server
    /// reported.
    #[serde(rename = "millis")]
    pub total_ms: u64,
}

impl Outcomes {
    /// Adds one request.
    pub fn record(&mut self, failed: bool, took: Duration) {
        self.requests += 1;
        self.failures += u32::from(failed);
        self.total_ms += u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    }

    /// Adds those of another instance.
    pub fn merge(&mut self, other: &Outcomes) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.total_ms += other.total_ms;
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.requests.max(1))
    }

    fn mean_millis(&self) -> f64 {
        self.total_ms as f64 / f64::from(self.requests.max(1))
    }
}

/// The answers of both versions of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Those of the version that requests came from.
    pub old: Outcomes,
    /// Those of the new version.
    pub new: Outcomes,
}

/// The answers of the new version before anything is said for it.
const LEAST_ANSWERS: u32 = 12;

/// Failures of the new version beyond those expected of the old one that take it back.
const EXCESS_FAILURES: f64 = 3.5;

/// How much longer the new version may take. A co-located neighbour slows a server down by a few
/// times for a while; an average over many servers stays well below this.
const SLOWER: f64 = 2.2;

/// Outcomes of the new version before its time is judged.
const LEAST_TIMED: u32 = 8;

/// What the answers say of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known.
    Undecided,
    /// It answers like the old one so far.
    Good,
    /// It fails more often, or is much slower.
    Bad,
}

impl Tally {
    /// Adds the answers that another instance saw.
    pub fn merge(&mut self, other: &Tally) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }

    /// Returns what the answers say of the new version.
    pub fn verdict(&self) -> Verdict {
        let new = &self.new;
        let expected = self.old.failure_share().min(0.5) * f64::from(new.requests);
        // The deviation of a count grows with its root.
        if f64::from(new.failures) > expected + EXCESS_FAILURES + 2.0 * expected.sqrt() {
            return Verdict::Bad;
        }
        let timed = new.requests >= LEAST_TIMED && self.old.requests >= LEAST_TIMED;
        if timed && new.mean_millis() > SLOWER * self.old.mean_millis() {
            return Verdict::Bad;
        }
        if new.requests >= LEAST_ANSWERS {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }
}
