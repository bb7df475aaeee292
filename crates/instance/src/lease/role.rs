//! The role of this instance on one duty.

use std::collections::BTreeMap;

use clock::Instant;
use contract::id;
use membership::authority::Authority;
use membership::epoch::Epoch;
use membership::quorum;
use membership::roster::Roster;
use membership::takeover::{Handover, Takeover};
use wire::holding::{LiveCredits, Transfer};
use wire::Pool;

use crate::owner::Snapshot;

/// Authority of the previous epoch, which stays valid until it expires.
#[derive(Clone, Debug)]
struct Previous {
    authority: Authority,
    since: Instant,
}

/// The role of this instance on one duty: its owner, or a deputy for its owner.
#[derive(Debug)]
pub struct Role {
    /// The authority in the current epoch.
    pub authority: Authority,
    /// Determines when the credits and requests of earlier actors have ended or are known.
    pub takeover: Takeover,
    /// Live credits of earlier actors, as the members reported them.
    pub reported_credits: Vec<LiveCredits>,
    /// Pools handed over by earlier actors, each with the time at which the handover was requested.
    pub handed_pools: Vec<(Transfer, Instant)>,
    /// The instances that may hold claims only in memory, as reported by each member.
    pub volatile_reports: BTreeMap<id::Instance, Vec<id::Instance>>,
    /// When this instance took on the role in the current epoch.
    pub started: Instant,
    previous: Option<Previous>,
}

impl Role {
    /// Returns a new role, following the role `before` of the previous epoch.
    pub fn new(
        authority: Authority,
        takeover: Takeover,
        before: Option<&Role>,
        now: Instant,
    ) -> Self {
        let previous = before.and_then(|role| role.to_previous(now));
        Self {
            authority,
            takeover,
            reported_credits: Vec::new(),
            handed_pools: Vec::new(),
            volatile_reports: BTreeMap::new(),
            started: now,
            previous,
        }
    }

    /// Returns the start of the period for which authority has been held without interruption, or
    /// `None` if it is not held.
    pub fn since(&self, now: Instant) -> Option<Instant> {
        let previous = self.previous.as_ref();
        if !self.authority.holds(now) {
            return previous.filter(|e| e.authority.holds(now)).map(|e| e.since);
        }
        let acquired = self.authority.acquired_at()?;
        let uninterrupted = previous.filter(|e| e.authority.expires_at() >= acquired);
        Some(uninterrupted.map_or(acquired, |e| e.since))
    }

    /// Returns whether everything that earlier actors did has ended or is known, given authority
    /// held since `since`.
    pub fn is_ready(&self, since: Instant, now: Instant) -> bool {
        self.takeover.ready_at(since).is_some_and(|at| at <= now)
    }

    /// Returns whether no earlier actor can still have authority, given authority held since
    /// `since`.
    pub fn is_exclusive(&self, since: Instant, now: Instant) -> bool {
        self.takeover
            .exclusive_at(since)
            .is_some_and(|at| at <= now)
    }

    /// Returns the state of `pool` left by earlier actors, or `None` while some of their live
    /// credits may be unknown.
    pub fn snapshot(&self, pool: &Pool, since: Instant, now: Instant) -> Option<Snapshot> {
        if self.is_ready(since, now) {
            let reported = self
                .reported_credits
                .iter()
                .filter(|held| held.pool == *pool);
            let credits = reported.flat_map(|held| held.credits.clone()).collect();
            return Some(Snapshot {
                credits,
                servers: Vec::new(),
            });
        }
        let mut handed = self
            .handed_pools
            .iter()
            .filter(|(handed, _)| handed.held.pool == *pool);
        let (handed, _) = handed.find(|(handed, requested_at)| {
            let mut takeover = self.takeover.clone();
            takeover.record_handover(&handed.handover, *requested_at);
            takeover.ready_at(since).is_some_and(|at| at <= now)
        })?;
        let credits = handed.held.credits.clone();
        Some(Snapshot {
            credits,
            servers: handed.servers.clone(),
        })
    }

    /// Returns whether an instance other than `me` may have held claims only in memory, or `None`
    /// until majorities of both the current and the previous members have reported.
    pub fn others_volatile(&self, roster: &Roster, me: &id::Instance) -> Option<bool> {
        const FIRST: Epoch = Epoch(1);
        if roster.epoch == FIRST {
            return Some(false);
        }
        if roster.prior.is_empty() {
            return Some(true);
        }
        let reported = |name: &id::Instance| self.volatile_reports.contains_key(name);
        let has_majorities =
            quorum::reached(&roster.members, reported) && quorum::reached(&roster.prior, reported);
        let mut volatile_instances = self.volatile_reports.values().flatten();
        let any = volatile_instances.any(|name| name != me);
        (has_majorities || any).then_some(any)
    }

    /// Returns the handover of the keys that epoch `adopted` assigned to another member, or `None`
    /// if this instance's previous authority has ended.
    pub fn hand_over(&self, adopted: Epoch, now: Instant) -> Option<Handover> {
        self.previous.as_ref()?.authority.hand_over(adopted, now)
    }

    /// Gives up the duty and returns its handover, or `None` if authority has ended.
    pub fn resign(&mut self, now: Instant) -> Option<Handover> {
        self.previous = None;
        self.authority.resign(now)
    }

    fn to_previous(&self, now: Instant) -> Option<Previous> {
        let since = self.since(now)?;
        if self.authority.holds(now) {
            return Some(Previous {
                authority: self.authority.clone(),
                since,
            });
        }
        self.previous.clone()
    }
}
