//! Tracks which instances may hold claims only in memory.

use std::collections::BTreeSet;

use contract::id;
use membership::quorum;
use membership::roster::Roster;

/// Tracks which instances may hold claims only in memory.
///
/// An instance that finds the store unavailable announces it with its heartbeats, and grants claims
/// in memory only once a majority of the members has acknowledged it. A new owner asks a majority,
/// so at least one of the members asked knows.
#[derive(Debug, Default)]
pub struct Volatile {
    /// Whether this instance may hold claims only in memory.
    local: bool,
    /// The members that have acknowledged this instance's announcement.
    acknowledged_by: BTreeSet<id::Instance>,
    /// The other instances that have announced it.
    others: BTreeSet<id::Instance>,
}

impl Volatile {
    /// Returns whether this instance announces that it may hold claims only in memory.
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Sets whether this instance may hold claims only in memory. A change clears the
    /// acknowledgements.
    pub fn set_local(&mut self, local: bool) {
        if self.local != local {
            self.local = local;
            self.acknowledged_by.clear();
        }
    }

    /// Records that `member` answered a heartbeat that announced `local`.
    pub fn record_acknowledgement(&mut self, member: &id::Instance, local: bool) {
        if local && self.local {
            self.acknowledged_by.insert(member.clone());
        }
    }

    /// Returns whether a majority of `roster`, counting `me`, knows that `me` may hold claims only
    /// in memory.
    pub fn is_acknowledged(&self, me: &id::Instance, roster: &Roster) -> bool {
        let acknowledged = |name: &id::Instance| name == me || self.acknowledged_by.contains(name);
        self.local && !roster.members.is_empty() && quorum::reached(&roster.members, acknowledged)
    }

    /// Records the announcement in a heartbeat of `member`.
    pub fn record_heartbeat(&mut self, member: &id::Instance, volatile: bool) {
        /// Bounds the memory; fewer instances than this fail during one outage.
        const MAX_OTHERS: usize = 1024;
        if !volatile {
            self.others.remove(member);
        } else if self.others.len() < MAX_OTHERS {
            self.others.insert(member.clone());
        }
    }

    /// Returns the other instances that may hold claims only in memory.
    pub fn others(&self) -> Vec<id::Instance> {
        self.others.iter().cloned().collect()
    }
}
