//! Evidence that no single backend server can make up.

use std::collections::BTreeMap;

use contract::id;
use serde::{Deserialize, Serialize};

use crate::arm::Arm;
use crate::contingency::Table;
use crate::sequential::Test;

/// The probability, at most, that a move whose versions answer alike is taken back for its answers.
pub const ALPHA: f64 = 0.01;

/// The evidence from which the share no longer grows.
pub(crate) const DOUBT: f64 = 20.0;

/// Evidence against the new version that no single one of its servers can make up.
///
/// A server can fail or slow down for reasons of its own. With two servers or more, the evidence
/// that counts is the least of those that leave one server out. Each of them alone keeps its error
/// rate, so the least does too.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Jackknife {
    whole: Test,
    without: BTreeMap<id::Server, Test>,
}

impl Jackknife {
    /// Returns a jury without evidence.
    pub(crate) fn new() -> Self {
        Self {
            whole: Test::new(),
            without: BTreeMap::new(),
        }
    }

    /// Takes the answers of one period into account: of the old version, and of each server of the
    /// new one.
    pub(crate) fn observe(&mut self, old: Arm, new: &BTreeMap<id::Server, Arm>) {
        for server in new.keys() {
            // Up to here, leaving out a server that had no calls made no difference.
            let before = self.whole.clone();
            self.without.entry(server.clone()).or_insert(before);
        }
        let all = new.values().fold(Arm::default(), |sum, arm| sum + *arm);
        self.whole.observe(&table(old, all));
        for (server, process) in &mut self.without {
            let own = new.get(server).copied().unwrap_or_default();
            process.observe(&table(old, all - own));
        }
    }

    /// Returns the evidence of all servers together: 1 at first.
    pub(crate) fn suspicion(&self) -> f64 {
        self.whole.e_value()
    }

    /// Returns the evidence against the new version: 1 at first.
    pub(crate) fn e_value(&self) -> f64 {
        self.least(Test::e_value)
    }

    /// Returns by how much the new version's rate of bad answers has lately been too high.
    pub(crate) fn excess(&self) -> f64 {
        self.least(Test::excess)
    }

    /// Returns the least measure of those that leave one server out.
    fn least(&self, measure: fn(&Test) -> f64) -> f64 {
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
