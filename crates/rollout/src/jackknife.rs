//! Evidence against the new version that does not depend on any single backend server.

use std::collections::BTreeMap;

use contract::id;
use serde::{Deserialize, Serialize};

use crate::arm::Arm;
use crate::contingency::Table;
use crate::sequential::Test;

/// The significance level: the greatest probability that a rollout whose versions behave alike is
/// rolled back for its responses.
pub const ALPHA: f64 = 0.01;

/// The e-value from which on the share is held.
pub(crate) const HOLD_E_VALUE: f64 = 20.0;

/// Evidence against the new version that does not depend on any single one of its servers.
///
/// A server can fail or slow down for reasons unrelated to its version. With two or more servers,
/// the e-value is the minimum over the tests that each leave one server out. Each of these tests
/// keeps its error rate, so their minimum does too.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Jackknife {
    /// The test of all servers.
    whole: Test,
    /// The tests that leave one server out, by that server.
    without: BTreeMap<id::Server, Test>,
}

impl Jackknife {
    /// Returns tests without evidence.
    pub(crate) fn new() -> Self {
        Self {
            whole: Test::new(),
            without: BTreeMap::new(),
        }
    }

    /// Adds the calls of one period: of the old version, and of each server of the new version.
    pub(crate) fn observe(&mut self, old: Arm, new: &BTreeMap<id::Server, Arm>) {
        for server in new.keys() {
            // Until its first calls, leaving the server out gives the same test as all servers.
            let before = self.whole.clone();
            self.without.entry(server.clone()).or_insert(before);
        }
        let all = new.values().fold(Arm::default(), |sum, arm| sum + *arm);
        self.whole.observe(&table(old, all));
        for (server, test) in &mut self.without {
            let own = new.get(server).copied().unwrap_or_default();
            test.observe(&table(old, all - own));
        }
    }

    /// Returns the e-value of all servers together, which is 1 at first.
    pub(crate) fn whole_e_value(&self) -> f64 {
        self.whole.e_value()
    }

    /// Returns the e-value against the new version, which is 1 at first.
    pub(crate) fn e_value(&self) -> f64 {
        self.min(Test::e_value)
    }

    /// Returns the recent excess of the new version's rate of bad calls.
    pub(crate) fn excess(&self) -> f64 {
        self.min(Test::excess)
    }

    /// Returns the minimum of `measure` over the tests that leave one server out, or its value for
    /// all servers if there are fewer than two.
    fn min(&self, measure: fn(&Test) -> f64) -> f64 {
        if self.without.len() < 2 {
            return measure(&self.whole);
        }
        self.without
            .values()
            .map(measure)
            .fold(f64::INFINITY, f64::min)
    }
}

fn table(old: Arm, new: Arm) -> Table {
    Table {
        old: old.calls,
        old_bad: old.bad,
        new: new.calls,
        new_bad: new.bad,
    }
}
