//! Who may hold claims in memory alone.

use std::collections::BTreeSet;

use contract::id;
use membership::quorum;
use membership::roster::Roster;

/// Who may hold claims in memory alone.
///
/// An instance that finds the store down says so with its heartbeats, and claims in memory only
/// once a majority of the members has heard it. A new owner asks a majority: at least one of them
/// knows.
#[derive(Debug, Default)]
pub struct Volatile {
    /// Whether this instance may hold claims in memory alone.
    local: bool,
    /// The members that have heard so from this instance.
    acknowledged_by: BTreeSet<id::Instance>,
    /// The other instances that said so.
    others: BTreeSet<id::Instance>,
}

impl Volatile {
    /// Returns whether this instance says that it may hold claims in memory alone.
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Sets whether this instance may hold claims in memory alone.
    pub fn set_local(&mut self, local: bool) {
        if self.local != local {
            self.local = local;
            self.acknowledged_by.clear();
        }
    }

    /// Notes that `member` answered a heartbeat that said `here`.
    pub fn record_acknowledgement(&mut self, member: &id::Instance, local: bool) {
        if local && self.local {
            self.acknowledged_by.insert(member.clone());
        }
    }

    /// Returns whether a majority of `roster` has heard that `me` may hold claims in memory alone.
    pub fn is_acknowledged(&self, me: &id::Instance, roster: &Roster) -> bool {
        let acknowledged = |name: &id::Instance| name == me || self.acknowledged_by.contains(name);
        self.local && !roster.members.is_empty() && quorum::reached(&roster.members, acknowledged)
    }

    /// Takes in what a heartbeat of `member` says.
    pub fn record_heartbeat(&mut self, member: &id::Instance, volatile: bool) {
        /// More instances than this have not failed during one outage.
        const MAX_OTHERS: usize = 1024;
        if !volatile {
            self.others.remove(member);
        } else if self.others.len() < MAX_OTHERS {
            self.others.insert(member.clone());
        }
    }

    /// Returns the other instances that may hold claims in memory alone.
    pub fn others(&self) -> Vec<id::Instance> {
        self.others.iter().cloned().collect()
    }
}
