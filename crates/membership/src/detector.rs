//! Failure detector: finds the members that are silent.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::roster::Roster;

/// A failure detector, which records when a message of each member last arrived.
#[derive(Clone, Debug)]
pub struct Detector {
    me: id::Instance,
    timeout: Duration,
    last_heard: BTreeMap<id::Instance, Instant>,
}

impl Detector {
    /// Returns the detector of `me`, which considers another member silent after `timeout` without
    /// a message from it.
    pub fn new(me: id::Instance, timeout: Duration) -> Self {
        Self {
            me,
            timeout,
            last_heard: BTreeMap::new(),
        }
    }

    /// Returns the time without a message after which a member is silent.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Replaces the members by those of `roster`. New ones count as heard from at `now`.
    pub fn adopt(&mut self, roster: &Roster, now: Instant) {
        self.last_heard.retain(|name, _| roster.contains(name));
        for member in &roster.members {
            self.last_heard.entry(member.name.clone()).or_insert(now);
        }
    }

    /// Records that a message of `member` has arrived.
    pub fn record_message(&mut self, member: &id::Instance, now: Instant) {
        if let Some(heard) = self.last_heard.get_mut(member) {
            *heard = now.max(*heard);
        }
    }

    /// Returns when the last message of `member` arrived.
    pub fn last_heard(&self, member: &id::Instance) -> Option<Instant> {
        self.last_heard.get(member).copied()
    }

    /// Returns whether `member` is silent. An instance is never silent to itself.
    pub fn is_silent(&self, member: &id::Instance, now: Instant) -> bool {
        let is_timed_out = |heard| now >= heard + self.timeout;
        *member != self.me && self.last_heard(member).is_none_or(is_timed_out)
    }

    /// Returns the members that are silent.
    pub fn silent(&self, now: Instant) -> Vec<id::Instance> {
        let names = self.last_heard.keys();
        names
            .filter(|name| self.is_silent(name, now))
            .cloned()
            .collect()
    }
}
