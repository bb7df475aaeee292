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
    here: bool,
    /// The members that have heard so from this instance.
    heard: BTreeSet<id::Instance>,
    /// The other instances that said so.
    others: BTreeSet<id::Instance>,
}

impl Volatile {
    /// Returns whether this instance says that it may hold claims in memory alone.
    pub fn is_here(&self) -> bool {
        self.here
    }

    /// Sets whether this instance may hold claims in memory alone.
    pub fn set_here(&mut self, here: bool) {
        if self.here != here {
            self.here = here;
            self.heard.clear();
        }
    }

    /// Notes that `member` answered a heartbeat that said `here`.
    pub fn heard(&mut self, member: &id::Instance, here: bool) {
        if here && self.here {
            self.heard.insert(member.clone());
        }
    }

    /// Returns whether a majority of `roster` has heard that `me` may hold claims in memory alone.
    pub fn is_known(&self, me: &id::Instance, roster: &Roster) -> bool {
        let knows = |name: &id::Instance| name == me || self.heard.contains(name);
        self.here && !roster.members.is_empty() && quorum::reached(&roster.members, knows)
    }

    /// Takes in what a heartbeat of `member` says.
    pub fn told(&mut self, member: &id::Instance, volatile: bool) {
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
