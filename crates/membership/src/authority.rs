//! Whether an actor may act on a duty.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::duty::Duty;
use crate::epoch::Epoch;
use crate::quorum;
use crate::roster::Roster;
use crate::takeover::Handover;
use crate::vote::{Answer, Refusal, Release};

/// The resolution of [`Instant`]. Authority that is acquired again after it was given up counts from
/// a later instant, so that nothing of the term before passes for a part of the new one.
const RESOLUTION: Duration = Duration::from_micros(1);

/// An actor's authority on one duty of one epoch.
///
/// It is held while a majority of the epoch's members, the actor among them, supported the actor in
/// answer to heartbeats that were sent less than a lease ago. The time of sending counts, since an
/// answer may be late. The actor asks its own [`crate::vote::Voter`] like any other, so that an
/// instance that has adopted a later epoch can no longer renew its authority in this one.
#[derive(Clone, Debug)]
pub struct Authority {
    me: id::Instance,
    duty: Duty,
    epoch: Epoch,
    lease: Duration,
    sequence: u64,
    sent: BTreeMap<u64, Instant>,
    members: BTreeMap<id::Instance, Standing>,
    acquired: Option<Instant>,
    earliest: Instant,
    newest: Epoch,
}

/// What one member last answered.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// When the latest heartbeat that it supported was sent.
    supported: Option<Instant>,
    /// When the latest heartbeat that it would have supported but for another actor was sent.
    reached: Option<Instant>,
}

impl Authority {
    /// Returns the authority of `me` on `duty` in the epoch of `roster`, not yet held.
    pub fn new(me: &id::Instance, duty: Duty, roster: &Roster, lease: Duration) -> Self {
        let names = roster.members.iter().map(|member| member.name.clone());
        let members = match roster.contains(me) {
            true => names.map(|name| (name, Standing::default())).collect(),
            false => BTreeMap::new(),
        };
        let epoch = roster.epoch;
        Self {
            me: me.clone(),
            duty,
            epoch,
            lease,
            sequence: 0,
            sent: BTreeMap::new(),
            members,
            acquired: None,
            earliest: Instant::ZERO,
            newest: epoch,
        }
    }

    /// Returns the duty.
    pub fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Notes that the heartbeat numbered `sequence` is about to be sent. Call it before sending.
    pub fn record_sent(&mut self, sequence: u64, now: Instant) {
        let lease = self.lease;
        self.sent.retain(|_, sent| now < *sent + lease);
        self.sent.insert(sequence, now);
        self.sequence = self.sequence.max(sequence);
    }

    /// Takes in the answer of `from` to the heartbeat numbered `sequence`.
    pub fn record_answer(
        &mut self,
        from: &id::Instance,
        sequence: u64,
        answer: &Answer,
        now: Instant,
    ) {
        self.newest = self.newest.max(answer.epoch);
        let Some(&sent) = self.sent.get(&sequence) else {
            return;
        };
        let held = self.holds(now);
        let Some(standing) = self.members.get_mut(from) else {
            return;
        };
        if answer.epoch != self.epoch {
            return;
        }
        let taken = matches!(answer.refusal, Some(Refusal::Taken(_)));
        if answer.supported || taken {
            standing.reached = standing.reached.max(Some(sent));
        }
        if answer.supported {
            standing.supported = standing.supported.max(Some(sent));
        }
        if !held {
            self.acquired = self.holds(now).then_some(now.max(self.earliest));
        }
    }

    /// Tells whether authority is held. Ask before each act, with the time read just then.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.expires_at()
    }

    /// Returns when authority ends unless it is renewed, or the origin if it was never held.
    pub fn expires_at(&self) -> Instant {
        let own = self
            .members
            .get(&self.me)
            .and_then(|standing| standing.supported);
        let supported = self.members.values().map(|standing| standing.supported);
        let sent = self.majority_sent(supported).min(own);
        sent.map_or(Instant::ZERO, |sent| sent + self.lease)
    }

    /// Returns since when authority has been held without a break, if it was ever held.
    ///
    /// After a break another actor may have acted: what was known of the credits is void.
    pub fn acquired_at(&self) -> Option<Instant> {
        self.acquired
    }

    /// Tells whether a majority would support this actor if another one gave way.
    pub fn could_win(&self, now: Instant) -> bool {
        let reached = self.members.values().map(|standing| standing.reached);
        self.majority_sent(reached)
            .is_some_and(|sent| now < sent + self.lease)
    }

    /// Gives up authority in favour of another actor of this epoch. `None` if it is not held.
    ///
    /// Nothing may be granted on the duty afterwards, unless authority is acquired again by
    /// heartbeats with higher numbers and a new takeover is ready.
    pub fn resign(&mut self, now: Instant) -> Option<Handover> {
        let handover = self.handover(now)?;
        self.sent.clear();
        self.earliest = now + RESOLUTION;
        self.acquired = None;
        for standing in self.members.values_mut() {
            *standing = Standing::default();
        }
        Some(handover)
    }

    /// Hands one key over to its owner in the next epoch, once this instance has `adopted` that
    /// epoch. `None` if it has not, or if authority is not held.
    ///
    /// Nothing may be granted on the key afterwards. Authority on the other keys lasts until it
    /// lapses.
    pub fn hand_over(&self, adopted: Epoch, now: Instant) -> Option<Handover> {
        (adopted > self.epoch).then(|| self.handover(now)).flatten()
    }

    /// Returns the word that hands over, if authority is held.
    fn handover(&self, now: Instant) -> Option<Handover> {
        let release = Release {
            actor: self.me.clone(),
            sequence: self.sequence,
        };
        let remaining = self.expires_at() - now;
        self.holds(now).then_some(Handover {
            epoch: self.epoch,
            release,
            remaining,
        })
    }

    /// Returns a later epoch that an answer named: the roster has to be read again.
    pub fn newer_epoch(&self) -> Option<Epoch> {
        (self.newest > self.epoch).then_some(self.newest)
    }

    /// Returns the latest instant such that a majority answered a heartbeat sent then or later.
    fn majority_sent<I>(&self, sent: I) -> Option<Instant>
    where
        I: Iterator<Item = Option<Instant>>,
    {
        let mut sent: Vec<Instant> = sent.flatten().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(quorum::majority(self.members.len()) - 1).copied()
    }
}
