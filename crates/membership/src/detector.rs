//! Which members are silent.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::roster::Roster;

/// When each member was last heard from.
#[derive(Clone, Debug)]
pub struct Detector {
    me: id::Instance,
    timeout: Duration,
    heard: BTreeMap<id::Instance, Instant>,
}

impl Detector {
    /// Returns the detector of `me`, which calls another member silent after `timeout` without a word
    /// from it.
    pub fn new(me: id::Instance, timeout: Duration) -> Self {
        Self {
            me,
            timeout,
            heard: BTreeMap::new(),
        }
    }

    /// Returns the time without a word after which a member is called silent.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Follows the members of `roster`; those that are new count as heard from just now.
    pub fn adopt(&mut self, roster: &Roster, now: Instant) {
        self.heard.retain(|name, _| roster.contains(name));
        for member in &roster.members {
            self.heard.entry(member.name.clone()).or_insert(now);
        }
    }

    /// Notes that a message of `member` came.
    pub fn record_message(&mut self, member: &id::Instance, now: Instant) {
        if let Some(heard) = self.heard.get_mut(member) {
            *heard = now.max(*heard);
        }
    }

    /// Returns when `member` was last heard from.
    pub fn last_heard(&self, member: &id::Instance) -> Option<Instant> {
        self.heard.get(member).copied()
    }

    /// Tells whether `member` is silent. An instance is never silent to itself.
    pub fn is_silent(&self, member: &id::Instance, now: Instant) -> bool {
        let lapsed = |heard| now >= heard + self.timeout;
        *member != self.me && self.last_heard(member).is_none_or(lapsed)
    }

    /// Returns the members that are silent.
    pub fn silent(&self, now: Instant) -> Vec<id::Instance> {
        let names = self.heard.keys();
        names
            .filter(|name| self.is_silent(name, now))
            .cloned()
            .collect()
    }
}
