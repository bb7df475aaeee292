//! A member's table of whom it supports.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::duty::Duty;
use crate::epoch::Epoch;
use crate::roster::Roster;
use crate::vote::{Answer, Refusal, Release, Request};

/// Support given to one actor.
#[derive(Clone, Debug)]
struct Support {
    /// Who is supported.
    actor: id::Instance,
    /// The number of the actor's last supported heartbeat.
    sequence: u64,
    /// When the support ends, with the margin.
    until: Instant,
}

impl Support {
    /// Tells whether the support has ended or its actor gave it up.
    fn ended(&self, release: Option<&Release>, now: Instant) -> bool {
        let released =
            release.is_some_and(|r| r.actor == self.actor && r.sequence >= self.sequence);
        released || now >= self.until
    }
}

/// A member's table of whom it supports on each duty. A member's support for itself is in it too.
#[derive(Clone, Debug)]
pub struct Voter {
    me: id::Instance,
    term: Duration,
    roster: Roster,
    supports: BTreeMap<Duty, Support>,
}

impl Voter {
    /// Returns the empty table of `me`. Support lasts `lease` and `margin`, which covers the drift
    /// between the clocks of two instances during a lease.
    pub fn new(me: id::Instance, lease: Duration, margin: Duration) -> Self {
        Self {
            me,
            term: lease + margin,
            roster: Roster::default(),
            supports: BTreeMap::new(),
        }
    }

    /// Takes over `roster` if it is later than the present one, and tells whether it did.
    ///
    /// Support that has been given lasts: the actor may count on it until its lease ends.
    pub fn adopt(&mut self, roster: &Roster) -> bool {
        let later = roster.epoch > self.roster.epoch;
        if later {
            self.roster = roster.clone();
        }
        later
    }

    /// Returns the present epoch.
    pub fn epoch(&self) -> Epoch {
        self.roster.epoch
    }

    /// Returns the present roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns whom this member supports on `duty`.
    pub fn supported_actor(&self, duty: &Duty, now: Instant) -> Option<&id::Instance> {
        let support = self.supports.get(duty)?;
        (now < support.until).then_some(&support.actor)
    }

    /// Answers a request for support, and records the support.
    pub fn consider(&mut self, request: &Request, now: Instant) -> Answer {
        match self.refusal(request, now) {
            Some(refusal) => Answer::refuse(self.epoch(), refusal),
            None => {
                self.support(request, now);
                Answer::support(self.epoch())
            }
        }
    }

    /// Returns why `request` has to be refused.
    fn refusal(&self, request: &Request, now: Instant) -> Option<Refusal> {
        if request.epoch < self.epoch() {
            return Some(Refusal::Stale);
        }
        if request.epoch > self.epoch() {
            return Some(Refusal::Ahead);
        }
        if !self.roster.contains(&request.actor) || !self.roster.contains(&self.me) {
            return Some(Refusal::NotMember);
        }
        if !self.roster.contains(&request.duty.0) {
            return Some(Refusal::UnknownDuty);
        }
        self.conflict(request, now)
    }

    /// Returns the support that stands in the way of `request`.
    fn conflict(&self, request: &Request, now: Instant) -> Option<Refusal> {
        let support = self.supports.get(&request.duty)?;
        if support.actor == request.actor {
            return (request.sequence <= support.sequence).then_some(Refusal::Reordered);
        }
        let ended = support.ended(request.release.as_ref(), now);
        (!ended).then(|| Refusal::Taken(support.actor.clone()))
    }

    /// Records support for the actor of `request`.
    fn support(&mut self, request: &Request, now: Instant) {
        let support = Support {
            actor: request.actor.clone(),
            sequence: request.sequence,
            until: now + self.term,
        };
        self.supports.insert(request.duty.clone(), support);
    }
}
