//! Judges whether a new version of a service performs like the old one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The outcomes of requests to one version of a service on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// The number of requests that ended.
    #[serde(rename = "ended")]
    pub requests: u32,
    /// The number of requests that failed.
    #[serde(rename = "failed")]
    pub failures: u32,
    /// The total duration of the requests, including failed ones, in milliseconds.
    #[serde(rename = "millis")]
    pub total_ms: u64,
    /// The number of requests that ended later than the route's latency objective.
    #[serde(default)]
    pub late: u32,
    /// The number of requests in flight that have already missed the objective.
    #[serde(default)]
    pub overdue: u32,
}

impl Outcomes {
    /// Adds the outcome of one request on a route with the latency `objective`.
    pub fn record(&mut self, failed: bool, duration: Duration, objective: Duration) {
        self.late += u32::from(duration > objective);
        self.requests += 1;
        self.failures += u32::from(failed);
        self.total_ms += u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    }

    /// Adds the outcomes seen by another instance.
    pub fn merge(&mut self, other: &Outcomes) {
        self.requests = self.requests.saturating_add(other.requests);
        self.failures = self.failures.saturating_add(other.failures);
        self.total_ms = self.total_ms.saturating_add(other.total_ms);
        self.late = self.late.saturating_add(other.late);
        self.overdue = self.overdue.saturating_add(other.overdue);
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.requests.max(1))
    }

    /// Returns the number of requests that missed the objective. Requests in flight count, because
    /// those of a slow version end last or not at all.
    pub fn missed(&self) -> u32 {
        self.late.saturating_add(self.overdue)
    }

    /// Returns the number of requests that ended within the objective.
    pub fn in_time(&self) -> u32 {
        self.requests.saturating_sub(self.late)
    }

    /// Returns the share of requests that missed the objective, of those of which it is known.
    pub fn late_share(&self) -> f64 {
        let known = f64::from(self.missed()) + f64::from(self.in_time());
        f64::from(self.missed()) / known.max(1.0)
    }

    fn mean_ms(&self) -> f64 {
        self.total_ms as f64 / f64::from(self.requests.max(1))
    }
}

/// The outcomes of both versions of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// The outcomes of the old version.
    pub old: Outcomes,
    /// The outcomes of the new version.
    pub new: Outcomes,
}

/// The requests that the new version needs for a good verdict.
const MIN_REQUESTS: u32 = 12;

/// The failures beyond those expected from the old version's failure share that make the verdict
/// bad.
const EXCESS_FAILURES: f64 = 3.5;

/// The largest acceptable ratio of the mean duration to that of the old version. Another workload
/// on the machine can slow down a single server several times for a while, but the mean over many
/// servers stays well below this ratio.
const MAX_DURATION_RATIO: f64 = 2.2;

/// The requests that each version needs before durations are compared.
const MIN_TIMED_REQUESTS: u32 = 8;

/// The verdict on a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There are too few requests to decide.
    Undecided,
    /// It performs like the old version so far.
    Good,
    /// It fails more often than the old version, or is much slower.
    Bad,
}

impl Tally {
    /// Adds the outcomes seen by another instance.
    pub fn merge(&mut self, other: &Tally) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }

    /// Returns the verdict on the new version.
    pub fn verdict(&self) -> Verdict {
        let new = &self.new;
        let expected = self.old.failure_share().min(0.5) * f64::from(new.requests);
        // The standard deviation of a count grows with its square root.
        if f64::from(new.failures) > expected + EXCESS_FAILURES + 2.0 * expected.sqrt() {
            return Verdict::Bad;
        }
        let is_timed =
            new.requests >= MIN_TIMED_REQUESTS && self.old.requests >= MIN_TIMED_REQUESTS;
        if is_timed && new.mean_ms() > MAX_DURATION_RATIO * self.old.mean_ms() {
            return Verdict::Bad;
        }
        if new.requests >= MIN_REQUESTS {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }
}
