//! Evidence that no single backend server can make up.

use std::collections::BTreeMap;

use contract::id;

use crate::process::Process;
use crate::table::Table;

/// The probability, at most, that a move whose versions answer alike is taken back for its answers
/// while one lead owner watches it.
pub const ALPHA: f64 = 0.01;

/// The evidence from which the share no longer grows.
pub(crate) const DOUBT: f64 = 20.0;

/// Evidence against the new version that no single one of its servers can make up.
///
/// A server can fail or slow down for reasons of its own. With two servers or more, the evidence
/// that counts is the least of those that leave one server out. Each of them alone keeps its error
/// rate, so the least does too.
#[derive(Clone, Debug)]
pub(crate) struct Jury {
    whole: Process,
    without: BTreeMap<id::Server, Process>,
}

impl Jury {
    /// Returns a jury without evidence.
    pub(crate) fn new() -> Self {
        Self {
            whole: Process::new(),
            without: BTreeMap::new(),
        }
    }

    /// Takes the answers of one period into account: of the old version, calls and bad ones among
    /// them, and the same of each server of the new one.
    pub(crate) fn observe(&mut self, old: (u64, u64), new: &BTreeMap<id::Server, (u64, u64)>) {
        for server in new.keys() {
            // Up to here, leaving out a server that had no calls made no difference.
            let before = self.whole.clone();
            self.without.entry(server.clone()).or_insert(before);
        }
        let all = new
            .values()
            .fold((0, 0), |sum, n| (sum.0 + n.0, sum.1 + n.1));
        self.whole.observe(&table(old, all));
        for (server, process) in &mut self.without {
            let own = new.get(server).copied().unwrap_or_default();
            process.observe(&table(old, (all.0 - own.0, all.1 - own.1)));
        }
    }

    /// Returns the evidence of all servers together: 1 at first.
    pub(crate) fn suspicion(&self) -> f64 {
        self.whole.evidence()
    }

    /// Returns the evidence against the new version: 1 at first.
    pub(crate) fn evidence(&self) -> f64 {
        if self.without.len() < 2 {
            return self.whole.evidence();
        }
        let least = self.without.values().map(Process::evidence);
        least.fold(f64::INFINITY, f64::min)
    }
}

fn table(old: (u64, u64), new: (u64, u64)) -> Table {
    Table {
        old: old.0,
        old_bad: old.1,
        new: new.0,
        new_bad: new.1,
    }
}
