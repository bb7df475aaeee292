//! The state of one takeover.

use std::collections::{BTreeMap, BTreeSet};

use clock::Instant;
use contract::id;

use crate::epoch::Epoch;
use crate::member::Member;
use crate::quorum;
use crate::roster::Roster;
use crate::takeover::{Handover, Limits};

/// The takeover of one key by a new actor: a new owner, a deputy, or an owner that had lost its
/// authority. It determines when the actor may grant.
///
/// Two conditions have to hold:
///
/// - No earlier actor on the key still has authority.
/// - The credits that earlier actors granted have ended or are known. Either every member of this
///   epoch and of the previous one, including silent ones, has reported, or the longest lifetime of
///   a credit has passed. Members that left in an earlier epoch are not asked, so reports count
///   only once credits of that time have ended.
///
/// This requires that actors grant only to members of their epoch.
#[derive(Clone, Debug)]
pub struct Takeover {
    limits: Limits,
    epoch: Epoch,
    adopted_at: Instant,
    members: Vec<Member>,
    prior: Vec<Member>,
    /// The members that have seen the epoch, or have ended.
    seen: BTreeSet<id::Instance>,
    settled_at: Option<Instant>,
    prior_settled_at: Option<Instant>,
    reports: BTreeMap<id::Instance, Report>,
    /// Until when a handover is valid.
    handover_until: Option<Instant>,
}

/// A member's report of the credits that it holds.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// When the request for it was sent.
    requested_at: Instant,
    /// When it arrived.
    received_at: Instant,
}

impl Takeover {
    /// Returns a takeover of a key in the epoch of `roster`, adopted at `now`.
    ///
    /// `prior_settled_at` is when this instance learned that the previous epoch was settled, from
    /// [`Takeover::settled_at`] of that epoch, or `None` if unknown.
    pub fn new(
        roster: &Roster,
        limits: Limits,
        prior_settled_at: Option<Instant>,
        now: Instant,
    ) -> Self {
        Self {
            limits,
            epoch: roster.epoch,
            adopted_at: now,
            members: roster.members.clone(),
            prior: roster.prior.clone(),
            seen: BTreeSet::new(),
            settled_at: roster.prior.is_empty().then_some(now),
            prior_settled_at: if roster.prior.is_empty() {
                Some(Instant::ZERO)
            } else {
                prior_settled_at
            },
            reports: BTreeMap::new(),
            handover_until: None,
        }
    }

    /// Records that `member` has seen `epoch`.
    pub fn record_epoch(&mut self, member: &id::Instance, epoch: Epoch, now: Instant) {
        if epoch >= self.epoch {
            self.record_ended(member, now);
        }
    }

    /// Records that the platform has ended `member`, which can no longer support any actor.
    pub fn record_ended(&mut self, member: &id::Instance, now: Instant) {
        self.seen.insert(member.clone());
        let is_settled = quorum::reached(&self.prior, |name| self.seen.contains(name));
        if is_settled && self.settled_at.is_none() {
            self.settled_at = Some(now);
        }
    }

    /// Returns when this instance learned that a majority of the previous epoch had seen this one.
    pub fn settled_at(&self) -> Option<Instant> {
        self.settled_at
    }

    /// Records that the previous actor handed the key over, in answer to a request sent at
    /// `requested_at`.
    ///
    /// The handover is valid only if, before the authority of the previous actor would have
    /// expired, this actor acquires authority and a majority of the previous epoch has seen this
    /// one. Later, a third actor may have granted. A handover from before the previous epoch is
    /// ignored.
    pub fn record_handover(&mut self, handover: &Handover, requested_at: Instant) {
        if handover.epoch == self.epoch || handover.epoch.next() == self.epoch {
            self.handover_until = self
                .handover_until
                .max(Some(requested_at + handover.remaining));
        }
    }

    /// Records that `member` reported the credits that it holds, in answer to a request sent at
    /// `requested_at`.
    ///
    /// Before it answers, a member adopts the epoch and abandons its open requests for credits of
    /// the key, including those to the same actor, so that a credit still in transit to it is never
    /// used.
    pub fn record_report(&mut self, member: &id::Instance, requested_at: Instant, now: Instant) {
        let report = Report {
            requested_at,
            received_at: now,
        };
        self.reports.insert(member.clone(), report);
    }

    /// Returns the members whose report is missing, if authority was acquired at `acquired_at`.
    pub fn missing_reports(&self, acquired_at: Instant) -> impl Iterator<Item = &id::Instance> {
        let names = self
            .members
            .iter()
            .chain(&self.prior)
            .map(|member| &member.name);
        names.filter(move |name| self.report(name, acquired_at).is_none())
    }

    /// Returns when the actor may grant, if its authority was acquired at `acquired_at`. Returns
    /// `None` while that is unknown.
    pub fn ready_at(&self, acquired_at: Instant) -> Option<Instant> {
        let settled_at = self.settled_at?;
        if self
            .handover_until
            .is_some_and(|until| settled_at.max(acquired_at) < until)
        {
            return Some(settled_at.max(acquired_at));
        }
        let exclusive_at = self.exclusive_at(acquired_at)?;
        let expired_at = exclusive_at + self.limits.credit_lifetime();
        Some(
            self.known_at(acquired_at, exclusive_at)
                .map_or(expired_at, |known_at| known_at.min(expired_at)),
        )
    }

    /// Returns when no earlier actor can still have authority, if this one acquired it at
    /// `acquired_at`. Returns `None` while that is unknown.
    pub fn exclusive_at(&self, acquired_at: Instant) -> Option<Instant> {
        let settled_at = self.settled_at?;
        Some(acquired_at.max(settled_at + self.limits.authority_lifetime()))
    }

    /// Returns when the credits of earlier actors are known from reports, if no earlier actor has
    /// authority from `exclusive_at` on.
    fn known_at(&self, acquired_at: Instant, exclusive_at: Instant) -> Option<Instant> {
        let prior_exclusive_at = self.prior_settled_at? + self.limits.authority_lifetime();
        // When the credits of members that left before the previous epoch have ended.
        let former_expired_at = prior_exclusive_at + self.limits.credit_lifetime();
        let names = self
            .members
            .iter()
            .chain(&self.prior)
            .map(|member| &member.name);
        let mut known_at = exclusive_at.max(former_expired_at).max(self.adopted_at);
        for name in names {
            known_at = known_at.max(self.report(name, acquired_at)?.received_at);
        }
        Some(known_at)
    }

    /// Returns the report of `name` if it was requested after authority was acquired.
    fn report(&self, name: &id::Instance, acquired_at: Instant) -> Option<Report> {
        let report = *self.reports.get(name)?;
        (report.requested_at >= acquired_at).then_some(report)
    }
}
