//! The evidence of a fault, on one route or on all.

use std::collections::BTreeMap;

use contract::id;
use serde::{Deserialize, Serialize};

use crate::arm::Arm;
use crate::counts::Counts;
use crate::jackknife::Jackknife;
use crate::stratum::Stratum;

/// The number of tests in a verdict.
pub(crate) const TESTS: usize = 2;

/// The excess of the new version's failure rate below which it is not taken back.
const LEAST_FAILURES: f64 = 0.005;

/// The excess of the new version's rate of slow answers below which it is not taken back.
const LEAST_SLOW: f64 = 0.05;

/// A way in which the new version is worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It fails more often.
    Failing,
    /// It is slower.
    Slow,
}

/// The evidence that the new version is worse than the old one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Analysis {
    failing: Jackknife,
    slow: Jackknife,
}

impl Analysis {
    /// Returns a verdict without evidence.
    pub(crate) fn new() -> Self {
        Self {
            failing: Jackknife::new(),
            slow: Jackknife::new(),
        }
    }

    /// Takes the answers of one period into account.
    pub(crate) fn observe(&mut self, stratum: &Stratum) {
        self.failing
            .observe(calls(&stratum.old), &arms(stratum, calls));
        self.slow
            .observe(timed(&stratum.old), &arms(stratum, timed));
    }

    /// Returns the fault for which there is evidence of at least `threshold`, if it is great enough
    /// to matter.
    pub(crate) fn fault(&self, threshold: f64) -> Option<Fault> {
        let failing = self.failing.excess() >= LEAST_FAILURES;
        let slow = self.slow.excess() >= LEAST_SLOW;
        if failing && self.failing.e_value() >= threshold {
            Some(Fault::Failing)
        } else if slow && self.slow.e_value() >= threshold {
            Some(Fault::Slow)
        } else {
            None
        }
    }

    /// Returns the evidence that the new version fails more often: 1 for none.
    pub(crate) fn failing(&self) -> f64 {
        self.failing.e_value()
    }

    /// Returns the evidence that the new version is slower: 1 for none.
    pub(crate) fn slow(&self) -> f64 {
        self.slow.e_value()
    }

    /// Returns the evidence of a fault, of whatever kind, that one server alone may make up.
    pub(crate) fn suspicion(&self) -> f64 {
        self.failing.suspicion().max(self.slow.suspicion())
    }
}

/// Returns the calls, of which failures are bad.
fn calls(counts: &Counts) -> Arm {
    Arm {
        calls: counts.calls,
        bad: counts.failed,
    }
}

/// Returns the timed calls, of which slow ones are bad.
fn timed(counts: &Counts) -> Arm {
    Arm {
        calls: counts.timed,
        bad: counts.slow,
    }
}

/// Returns the calls of each server of the new version.
fn arms(stratum: &Stratum, arm: fn(&Counts) -> Arm) -> BTreeMap<id::Server, Arm> {
    let servers = stratum.new.iter();
    servers
        .map(|(server, counts)| (server.clone(), arm(counts)))
        .collect()
}
