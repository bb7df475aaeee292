//! Acting on one duty.

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

use crate::owner::Inherited;

/// Authority of the epoch before, which serves until it lapses.
#[derive(Clone, Debug)]
struct Earlier {
    authority: Authority,
    since: Instant,
}

/// Acting on one duty: as its owner, or as a deputy for it.
#[derive(Debug)]
pub struct Acting {
    /// The authority in the present epoch.
    pub authority: Authority,
    /// When what earlier actors did has ended or is known.
    pub takeover: Takeover,
    /// Live credits of earlier actors, as the members reported them.
    pub reported: Vec<LiveCredits>,
    /// Pools that earlier actors handed over, with when that was asked for.
    pub handed: Vec<(Transfer, Instant)>,
    /// Which instances may hold claims in memory alone, as each member reported.
    pub volatile: BTreeMap<id::Instance, Vec<id::Instance>>,
    /// When this instance took the duty up in the present epoch.
    pub started: Instant,
    earlier: Option<Earlier>,
}

impl Acting {
    /// Starts to act, after `before` in the epoch before.
    pub fn start(
        authority: Authority,
        takeover: Takeover,
        before: Option<&Acting>,
        now: Instant,
    ) -> Self {
        let earlier = before.and_then(|acting| acting.to_earlier(now));
        Self {
            authority,
            takeover,
            reported: Vec::new(),
            handed: Vec::new(),
            volatile: BTreeMap::new(),
            started: now,
            earlier,
        }
    }

    /// Returns since when authority has been held without a break, while it is held.
    pub fn since(&self, now: Instant) -> Option<Instant> {
        let earlier = self.earlier.as_ref();
        if !self.authority.holds(now) {
            return earlier.filter(|e| e.authority.holds(now)).map(|e| e.since);
        }
        let acquired = self.authority.acquired_at()?;
        let unbroken = earlier.filter(|e| e.authority.expires_at() >= acquired);
        Some(unbroken.map_or(acquired, |e| e.since))
    }

    /// Returns whether earlier actors can matter no more, if authority is held since `since`.
    pub fn is_ready(&self, since: Instant, now: Instant) -> bool {
        self.takeover.ready_at(since).is_some_and(|at| at <= now)
    }

    /// Returns whether no earlier actor can have authority any more, if this one has it since `since`.
    pub fn is_alone(&self, since: Instant, now: Instant) -> bool {
        self.takeover
            .exclusive_at(since)
            .is_some_and(|at| at <= now)
    }

    /// Returns what earlier actors left of `pool`, or `None` while they may matter and
    /// are not all known.
    pub fn admission(&self, pool: &Pool, since: Instant, now: Instant) -> Option<Inherited> {
        if self.is_ready(since, now) {
            let reported = self.reported.iter().filter(|held| held.pool == *pool);
            let credits = reported.flat_map(|held| held.credits.clone()).collect();
            return Some(Inherited {
                credits,
                servers: Vec::new(),
            });
        }
        let mut handed = self
            .handed
            .iter()
            .filter(|(handed, _)| handed.held.pool == *pool);
        let (handed, _) = handed.find(|(handed, asked)| {
            let mut takeover = self.takeover.clone();
            takeover.record_handover(&handed.handover, *asked);
            takeover.ready_at(since).is_some_and(|at| at <= now)
        })?;
        let credits = handed.held.credits.clone();
        Some(Inherited {
            credits,
            servers: handed.servers.clone(),
        })
    }

    /// Returns whether an instance other than `me` may have held claims in memory alone, or `None`
    /// until a majority of the members and of those before have reported.
    pub fn volatile(&self, roster: &Roster, me: &id::Instance) -> Option<bool> {
        const FIRST: Epoch = Epoch(1);
        if roster.epoch == FIRST {
            return Some(false);
        }
        if roster.prior.is_empty() {
            return Some(true);
        }
        let reported = |name: &id::Instance| self.volatile.contains_key(name);
        let heard =
            quorum::reached(&roster.members, reported) && quorum::reached(&roster.prior, reported);
        let mut named = self.volatile.values().flatten();
        let any = named.any(|name| name != me);
        (heard || any).then_some(any)
    }

    /// Returns the word with which this instance gives up a key that fell to another member with the
    /// epoch `adopted`, or `None` where its authority has ended.
    pub fn pass_on(&self, adopted: Epoch, now: Instant) -> Option<Handover> {
        self.earlier.as_ref()?.authority.hand_over(adopted, now)
    }

    /// Gives up the duty. Returns `None` where its authority has ended.
    pub fn resign(&mut self, now: Instant) -> Option<Handover> {
        self.earlier = None;
        self.authority.resign(now)
    }

    fn to_earlier(&self, now: Instant) -> Option<Earlier> {
        let since = self.since(now)?;
        if self.authority.holds(now) {
            return Some(Earlier {
                authority: self.authority.clone(),
                since,
            });
        }
        self.earlier.clone()
    }
}
