//! When a new actor on a key may grant.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use contract::id;

use crate::epoch::Epoch;
use crate::member::Member;
use crate::quorum;
use crate::roster::Roster;
use crate::takeover::{Handover, Limits};

/// When a new actor on one key may grant: a new owner, a deputy, or an owner that had lost its
/// authority.
///
/// (a) No earlier actor on the key has authority any more. (b) The credits that earlier actors
/// granted have ended or are known: every member of this epoch and of the one before, also one that
/// is silent, has to report, or the longest life of a credit has to pass. Members that left an epoch
/// earlier are not asked, so that reports count only once credits of that time have ended. All this
/// rests on actors granting to members of their epoch only.
#[derive(Clone, Debug)]
pub struct Takeover {
    limits: Limits,
    epoch: Epoch,
    adopted: Instant,
    members: Vec<Member>,
    prior: Vec<Member>,
    seen: BTreeSet<id::Instance>,
    settled: Option<Instant>,
    prior_settled: Option<Instant>,
    reports: BTreeMap<id::Instance, Report>,
    handover: Option<Instant>,
}

/// A member's report of the credits that it holds.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// When it was asked for.
    asked: Instant,
    /// When it came.
    came: Instant,
}

impl Takeover {
    /// Returns a takeover of a key in the epoch of `roster`, adopted at `now`.
    ///
    /// `prior_settled` is when this instance learned that the epoch before was settled, from
    /// [`Takeover::settled_at`] of that epoch; `None` if it does not know.
    pub fn new(
        roster: &Roster,
        limits: Limits,
        prior_settled: Option<Instant>,
        now: Instant,
    ) -> Self {
        Self {
            limits,
            epoch: roster.epoch,
            adopted: now,
            members: roster.members.clone(),
            prior: roster.prior.clone(),
            seen: BTreeSet::new(),
            settled: roster.prior.is_empty().then_some(now),
            prior_settled: if roster.prior.is_empty() {
                Some(Instant::ZERO)
            } else {
                prior_settled
            },
            reports: BTreeMap::new(),
            handover: None,
        }
    }

    /// Notes that `member` has seen `epoch`.
    pub fn record_epoch(&mut self, member: &id::Instance, epoch: Epoch, now: Instant) {
        if epoch >= self.epoch {
            self.record_ended(member, now);
        }
    }

    /// Notes that the platform has ended `member`, which can support nobody any more.
    pub fn record_ended(&mut self, member: &id::Instance, now: Instant) {
        self.seen.insert(member.clone());
        let settled = quorum::reached(&self.prior, |name| self.seen.contains(name));
        if settled && self.settled.is_none() {
            self.settled = Some(now);
        }
    }

    /// Returns when a majority of the epoch before was known to have seen this one.
    pub fn settled_at(&self) -> Option<Instant> {
        self.settled
    }

    /// Notes that the actor before handed the key over, in answer to a request sent at `asked`.
    ///
    /// It counts only if authority is acquired, and a majority of the epoch before has seen this
    /// one, while the authority of the actor before would have lasted: later, a third actor may have
    /// granted. A handover from an epoch further back counts for nothing.
    pub fn record_handover(&mut self, handover: &Handover, asked: Instant) {
        if handover.epoch == self.epoch || handover.epoch.next() == self.epoch {
            self.handover = self.handover.max(Some(asked + handover.remaining));
        }
    }

    /// Notes that `member` reported the credits that it holds, in answer to a request sent at
    /// `asked`.
    ///
    /// Before it answers, a member adopts the epoch and abandons its open requests for credits of
    /// the key, those to the same actor included, so that a credit that is still on its way to it is
    /// never used.
    pub fn record_report(&mut self, member: &id::Instance, asked: Instant, now: Instant) {
        let report = Report { asked, came: now };
        self.reports.insert(member.clone(), report);
    }

    /// Returns the members whose report is missing, if authority was acquired at `acquired`.
    pub fn missing_reports(&self, acquired: Instant) -> impl Iterator<Item = &id::Instance> {
        let names = self
            .members
            .iter()
            .chain(&self.prior)
            .map(|member| &member.name);
        names.filter(move |name| self.report(name, acquired).is_none())
    }

    /// Returns when the actor may grant, if its authority was acquired at `acquired`. `None` while
    /// that is not known.
    pub fn ready_at(&self, acquired: Instant) -> Option<Instant> {
        let settled = self.settled?;
        if self
            .handover
            .is_some_and(|until| settled.max(acquired) < until)
        {
            return Some(settled.max(acquired));
        }
        let alone = self.exclusive_at(acquired)?;
        let lapsed = alone + self.limits.credit_lifetime();
        Some(
            self.known_at(acquired, alone)
                .map_or(lapsed, |known| known.min(lapsed)),
        )
    }

    /// Returns when no earlier actor has authority any more, if this one's was acquired at `acquired`.
    /// `None` while that is not known.
    pub fn exclusive_at(&self, acquired: Instant) -> Option<Instant> {
        let settled = self.settled?;
        Some(acquired.max(settled + self.limits.authority_lifetime()))
    }

    /// Returns when the credits of earlier actors are known from reports, if no earlier actor has
    /// authority from `alone` on.
    fn known_at(&self, acquired: Instant, alone: Instant) -> Option<Instant> {
        let prior_alone = self.prior_settled? + self.limits.authority_lifetime();
        let departed = prior_alone + self.limits.credit_lifetime();
        let names = self
            .members
            .iter()
            .chain(&self.prior)
            .map(|member| &member.name);
        let mut known = alone.max(departed).max(self.adopted);
        for name in names {
            known = known.max(self.report(name, acquired)?.came);
        }
        Some(known)
    }

    /// Returns the report of `name` if it was asked for after authority was acquired.
    fn report(&self, name: &id::Instance, acquired: Instant) -> Option<Report> {
        let report = *self.reports.get(name)?;
        (report.asked >= acquired).then_some(report)
    }
}
