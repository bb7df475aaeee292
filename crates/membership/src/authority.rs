//! The lease of an actor on a duty.

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

/// The resolution of [`Instant`]. Authority that is acquired again after a resignation begins at a
/// later instant, so that nothing of the previous term is attributed to the new one.
const CLOCK_RESOLUTION: Duration = Duration::from_micros(1);

/// An actor's authority to act on one duty of one epoch: a lease granted by a majority.
///
/// It is held while a majority of the epoch's members, including the actor, has supported
/// heartbeats that the actor sent less than a lease ago. The time of sending counts, because an
/// answer may be late. The actor also asks its own [`crate::vote::Voter`], so that an instance that
/// has adopted a later epoch can no longer renew its authority in this one.
#[derive(Clone, Debug)]
pub struct Authority {
    me: id::Instance,
    duty: Duty,
    epoch: Epoch,
    lease: Duration,
    /// The highest heartbeat number sent.
    sequence: u64,
    /// When the recent heartbeats were sent, by number.
    sent: BTreeMap<u64, Instant>,
    members: BTreeMap<id::Instance, Support>,
    acquired_at: Option<Instant>,
    /// The earliest instant at which authority may be acquired.
    not_before: Instant,
    newest_epoch: Epoch,
}

/// The latest answers of one member.
#[derive(Clone, Copy, Debug, Default)]
struct Support {
    /// When the latest heartbeat that the member supported was sent.
    granted: Option<Instant>,
    /// When the latest heartbeat was sent that the member supported, or refused only because it
    /// supports another actor.
    reached: Option<Instant>,
}

impl Authority {
    /// Returns the authority of `me` on `duty` in the epoch of `roster`. It is not held yet.
    pub fn new(me: &id::Instance, duty: Duty, roster: &Roster, lease: Duration) -> Self {
        let names = roster.members.iter().map(|member| member.name.clone());
        let members = match roster.contains(me) {
            true => names.map(|name| (name, Support::default())).collect(),
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
            acquired_at: None,
            not_before: Instant::ZERO,
            newest_epoch: epoch,
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

    /// Records that the heartbeat numbered `sequence` is about to be sent. Call it before sending.
    pub fn record_sent(&mut self, sequence: u64, now: Instant) {
        let lease = self.lease;
        self.sent.retain(|_, sent_at| now < *sent_at + lease);
        self.sent.insert(sequence, now);
        self.sequence = self.sequence.max(sequence);
    }

    /// Records the answer of `from` to the heartbeat numbered `sequence`.
    pub fn record_answer(
        &mut self,
        from: &id::Instance,
        sequence: u64,
        answer: &Answer,
        now: Instant,
    ) {
        self.newest_epoch = self.newest_epoch.max(answer.epoch);
        let Some(&sent_at) = self.sent.get(&sequence) else {
            return;
        };
        let was_held = self.holds(now);
        let Some(support) = self.members.get_mut(from) else {
            return;
        };
        if answer.epoch != self.epoch {
            return;
        }
        let is_taken = matches!(answer.refusal, Some(Refusal::Taken(_)));
        if answer.supported || is_taken {
            support.reached = support.reached.max(Some(sent_at));
        }
        if answer.supported {
            support.granted = support.granted.max(Some(sent_at));
        }
        if !was_held {
            self.acquired_at = self.holds(now).then_some(now.max(self.not_before));
        }
    }

    /// Returns whether authority is held. Check it before each act, with the current time.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.expires_at()
    }

    /// Returns when authority ends unless it is renewed, or [`Instant::ZERO`] if it was never held.
    pub fn expires_at(&self) -> Instant {
        let own = self
            .members
            .get(&self.me)
            .and_then(|support| support.granted);
        let granted = self.members.values().map(|support| support.granted);
        let sent_at = self.majority_sent_at(granted).min(own);
        sent_at.map_or(Instant::ZERO, |sent_at| sent_at + self.lease)
    }

    /// Returns the beginning of the current or last uninterrupted term of authority, if any.
    ///
    /// After an interruption another actor may have acted, so earlier knowledge of the credits is
    /// invalid.
    pub fn acquired_at(&self) -> Option<Instant> {
        self.acquired_at
    }

    /// Returns whether a majority would support this actor if the current actor released the duty.
    pub fn could_win(&self, now: Instant) -> bool {
        let reached = self.members.values().map(|support| support.reached);
        self.majority_sent_at(reached)
            .is_some_and(|sent_at| now < sent_at + self.lease)
    }

    /// Gives up authority in favour of another actor of this epoch. Returns `None` if it is not
    /// held.
    ///
    /// The caller must not grant on the duty afterwards, unless authority is acquired again by
    /// heartbeats with higher numbers and a new takeover is ready.
    pub fn resign(&mut self, now: Instant) -> Option<Handover> {
        let handover = self.handover(now)?;
        self.sent.clear();
        self.not_before = now + CLOCK_RESOLUTION;
        self.acquired_at = None;
        for support in self.members.values_mut() {
            *support = Support::default();
        }
        Some(handover)
    }

    /// Hands one key over to its owner in a later epoch, `adopted`, which this instance has
    /// adopted. Returns `None` if `adopted` is not later than this epoch, or if authority is not
    /// held.
    ///
    /// The caller must not grant on the key afterwards. Authority on the other keys remains until
    /// it expires.
    pub fn hand_over(&self, adopted: Epoch, now: Instant) -> Option<Handover> {
        (adopted > self.epoch).then(|| self.handover(now)).flatten()
    }

    /// Returns the handover, if authority is held.
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

    /// Returns the newest epoch in answers if it is later than this one. The roster then has to be
    /// read again.
    pub fn newer_epoch(&self) -> Option<Epoch> {
        (self.newest_epoch > self.epoch).then_some(self.newest_epoch)
    }

    /// Returns the latest instant such that a majority of `sent_at` is at that instant or later.
    fn majority_sent_at<I>(&self, sent_at: I) -> Option<Instant>
    where
        I: Iterator<Item = Option<Instant>>,
    {
        let mut sent_at: Vec<Instant> = sent_at.flatten().collect();
        sent_at.sort_unstable_by(|a, b| b.cmp(a));
        sent_at
            .get(quorum::majority(self.members.len()) - 1)
            .copied()
    }
}
