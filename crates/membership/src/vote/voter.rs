//! The votes that a member has given.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::duty::Duty;
use crate::epoch::Epoch;
use crate::roster::Roster;
use crate::vote::{Answer, Refusal, Release, Request};

/// The support for one actor.
#[derive(Clone, Debug)]
struct Support {
    /// The actor that is supported.
    actor: id::Instance,
    /// The number of the actor's last supported heartbeat.
    sequence: u64,
    /// When the support ends, with the margin.
    until: Instant,
}

impl Support {
    /// Returns whether the support has expired or its actor has released the duty.
    fn has_ended(&self, release: Option<&Release>, now: Instant) -> bool {
        let released =
            release.is_some_and(|r| r.actor == self.actor && r.sequence >= self.sequence);
        released || now >= self.until
    }
}

/// The votes that a member has given, by duty, including those for itself.
#[derive(Clone, Debug)]
pub struct Voter {
    me: id::Instance,
    /// How long support lasts: the lease and the margin.
    term: Duration,
    roster: Roster,
    supports: BTreeMap<Duty, Support>,
}

impl Voter {
    /// Returns the voter of `me` without votes. Support lasts for `lease` plus `margin`, which
    /// covers the drift between the clocks of two instances during a lease.
    pub fn new(me: id::Instance, lease: Duration, margin: Duration) -> Self {
        Self {
            me,
            term: lease + margin,
            roster: Roster::default(),
            supports: BTreeMap::new(),
        }
    }

    /// Adopts `roster` if it is later than the current one, and returns whether it is.
    ///
    /// Support that was given remains, because the actor relies on it until its lease ends.
    pub fn adopt(&mut self, roster: &Roster) -> bool {
        let is_later = roster.epoch > self.roster.epoch;
        if is_later {
            self.roster = roster.clone();
        }
        is_later
    }

    /// Returns the current epoch.
    pub fn epoch(&self) -> Epoch {
        self.roster.epoch
    }

    /// Returns the current roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the actor that this member supports on `duty`.
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

    /// Returns the reason to refuse `request`, if any.
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

    /// Returns the refusal if earlier support conflicts with `request`.
    fn conflict(&self, request: &Request, now: Instant) -> Option<Refusal> {
        let support = self.supports.get(&request.duty)?;
        if support.actor == request.actor {
            return (request.sequence <= support.sequence).then_some(Refusal::Reordered);
        }
        let ended = support.has_ended(request.release.as_ref(), now);
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
