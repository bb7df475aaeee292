//! An instance as a potential actor on the pool.

use crate::grant::{tick, Index, PerInstance, Roster, NEVER};

/// The confirmation that an actor has stopped acting on the pool, given to its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Release {
    /// The actor that released the pool.
    pub actor: Index,
    /// The number of handovers that it had made before.
    pub term: u8,
}

/// The state of an instance as a potential actor on the pool. Durations are in ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Actor {
    /// The roster under which it acts. It may be older than the one under which the instance votes.
    pub roster: Roster,
    /// The answers in flight from each member, as how long the support in them will last; zero if
    /// there is none.
    pub answers: PerInstance<u8>,
    /// How much longer each member's support counts.
    pub support: PerInstance<u8>,
    /// The number of handovers that it has made.
    pub term: u8,
    /// The release that its heartbeats carry.
    pub release: Option<Release>,
    /// How much longer actors of earlier epochs may have authority.
    pub prior_authority: u8,
    /// How much longer credits of earlier actors may be live, counted while it has authority alone.
    pub prior_credits: u8,
    /// How much longer credits of members that left in an earlier epoch may be live.
    pub departed_credits: u8,
    /// The same for the next epoch.
    pub leaving_credits: u8,
    /// The members that have reported, as a bit mask.
    pub reports: u8,
    /// How much longer a received handover is valid.
    pub handover: u8,
    /// Whether the takeover is complete.
    pub ready: bool,
    /// The server's one credit, if it is granted: the entry instance and how much longer the credit
    /// counts as live.
    pub live_credit: Option<(Index, u8)>,
}

impl Actor {
    /// Returns whether a majority supports the actor.
    pub fn holds(&self) -> bool {
        self.roster.members.0 != 0
            && self
                .roster
                .members
                .majority(|index| self.support[index] > 0)
    }

    /// Returns the number of ticks for which authority lasts without renewal.
    pub fn remaining(&self) -> u8 {
        let lasts = |left: u8| {
            self.roster
                .members
                .majority(|index| self.support[index] >= left)
        };
        (1..NEVER)
            .take_while(|&left| lasts(left))
            .last()
            .unwrap_or(0)
    }

    /// Returns whether the actor may grant credits.
    pub fn may_grant(&self) -> bool {
        self.ready && self.holds()
    }

    /// Gives up authority.
    pub fn stop(&mut self) {
        self.answers = PerInstance::default();
        self.support = PerInstance::default();
    }

    /// Discards answers that would not extend the support of their member.
    pub fn discard_useless_answers(&mut self) {
        let support = self.support;
        for (answer, left) in self.answers.iter_mut().zip(support.iter()) {
            if *answer <= *left {
                *answer = 0;
            }
        }
    }

    /// Advances the clock by a tick. `ages` is whether the support in an answer in flight loses
    /// lifetime.
    pub fn tick(&mut self, ages: bool) {
        if self.prior_authority == 0 && self.holds() {
            tick(&mut self.prior_credits);
        }
        if ages {
            self.answers.iter_mut().for_each(tick);
        }
        self.support.iter_mut().for_each(tick);
        tick(&mut self.prior_authority);
        tick(&mut self.departed_credits);
        tick(&mut self.leaving_credits);
        tick(&mut self.handover);
        self.live_credit = self
            .live_credit
            .and_then(|(entry, left)| (left > 1).then(|| (entry, left - 1)));
    }
}
