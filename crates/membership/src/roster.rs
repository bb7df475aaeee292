//! The roster of an epoch.

use contract::id;
use serde::{Deserialize, Serialize};

use crate::epoch::Epoch;
use crate::member::Member;
use crate::quorum;

/// The members of an epoch and of the previous epoch. It is stored as one object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The number of this roster.
    pub epoch: Epoch,
    /// The members, sorted by name.
    pub members: Vec<Member>,
    /// The members of the previous epoch.
    pub prior: Vec<Member>,
}

impl Roster {
    /// Returns the roster of the next epoch, with `join` added and `remove` removed.
    pub fn next(&self, join: &[Member], remove: &[id::Instance]) -> Roster {
        let kept = self.members.iter().chain(join);
        let mut members: Vec<Member> = kept
            .filter(|member| !remove.contains(&member.name))
            .cloned()
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members.dedup_by(|a, b| a.name == b.name);
        Roster {
            epoch: self.epoch.next(),
            members,
            prior: self.members.clone(),
        }
    }

    /// Returns the member with this name.
    pub fn member(&self, name: &id::Instance) -> Option<&Member> {
        self.members.iter().find(|member| member.name == *name)
    }

    /// Returns whether `name` is a member.
    pub fn contains(&self, name: &id::Instance) -> bool {
        self.member(name).is_some()
    }

    /// Returns the number of members in a majority.
    pub fn majority(&self) -> usize {
        quorum::majority(self.members.len())
    }
}
