//! Tests of the new version against the old one, on one route or on all routes together.

use std::collections::BTreeMap;

use contract::id;
use serde::{Deserialize, Serialize};

use crate::arm::Arm;
use crate::counts::Counts;
use crate::jackknife::Jackknife;
use crate::stratum::Stratum;

/// The number of tests in an [`Analysis`].
pub(crate) const TESTS: usize = 2;

/// The excess of the new version's failure rate below which it is not rolled back.
const MIN_FAILURE_EXCESS: f64 = 0.005;

/// The excess of the new version's rate of slow responses below which it is not rolled back.
const MIN_SLOW_EXCESS: f64 = 0.05;

/// A way in which the new version is worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It fails more often.
    Failing,
    /// It is slower.
    Slow,
}

/// The tests of whether the new version fails more often than the old one, and whether it is
/// slower.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Analysis {
    failing: Jackknife,
    slow: Jackknife,
}

impl Analysis {
    /// Returns an analysis without evidence.
    pub(crate) fn new() -> Self {
        Self {
            failing: Jackknife::new(),
            slow: Jackknife::new(),
        }
    }

    /// Adds the responses of one period.
    pub(crate) fn observe(&mut self, stratum: &Stratum) {
        self.failing
            .observe(calls(&stratum.old), &arms(stratum, calls));
        self.slow
            .observe(timed(&stratum.old), &arms(stratum, timed));
    }

    /// Returns the fault whose e-value is at least `threshold`, if its excess is great enough to
    /// matter.
    pub(crate) fn fault(&self, threshold: f64) -> Option<Fault> {
        let failing = self.failing.excess() >= MIN_FAILURE_EXCESS;
        let slow = self.slow.excess() >= MIN_SLOW_EXCESS;
        if failing && self.failing.e_value() >= threshold {
            Some(Fault::Failing)
        } else if slow && self.slow.e_value() >= threshold {
            Some(Fault::Slow)
        } else {
            None
        }
    }

    /// Returns the e-value of more frequent failures, which is 1 without evidence.
    pub(crate) fn failing(&self) -> f64 {
        self.failing.e_value()
    }

    /// Returns the e-value of slower responses, which is 1 without evidence.
    pub(crate) fn slow(&self) -> f64 {
        self.slow.e_value()
    }

    /// Returns the greater e-value of both tests over all servers. A single server may account for
    /// it.
    pub(crate) fn whole_e_value(&self) -> f64 {
        self.failing.whole_e_value().max(self.slow.whole_e_value())
    }
}

/// Returns all calls, with failures as bad calls.
fn calls(counts: &Counts) -> Arm {
    Arm {
        calls: counts.calls,
        bad: counts.failed,
    }
}

/// Returns the timed calls, with slow ones as bad calls.
fn timed(counts: &Counts) -> Arm {
    Arm {
        calls: counts.timed,
        bad: counts.slow,
    }
}

/// Returns the calls of each server of the new version, by `arm`.
fn arms(stratum: &Stratum, arm: fn(&Counts) -> Arm) -> BTreeMap<id::Server, Arm> {
    let servers = stratum.new.iter();
    servers
        .map(|(server, counts)| (server.clone(), arm(counts)))
        .collect()
}
