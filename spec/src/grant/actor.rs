//! Whoever acts, or may act, on the pool.

use crate::grant::{tick, Index, PerInstance, Roster, NEVER};

/// The word of an actor that gave way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Release {
    /// The actor that gave way.
    pub actor: Index,
    /// The number of handovers that it had given before.
    pub term: u8,
}

/// What an instance has done to act on the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Actor {
    /// The roster under which it acts. It may lag the one under which the instance votes.
    pub roster: Roster,
    /// The answers of support that are on their way, by how long the authority lasts that each may
    /// bring; zero if there is none.
    pub answers: PerInstance<u8>,
    /// How long each member's support counts yet.
    pub support: PerInstance<u8>,
    /// The number of handovers that it has given.
    pub term: u8,
    /// The relief that its heartbeats carry.
    pub release: Option<Release>,
    /// How long the authority of actors of earlier epochs may last yet.
    pub prior_authority: u8,
    /// How long credits of earlier actors may last yet, counted while it has authority alone.
    pub prior_credits: u8,
    /// How long credits of members that left an epoch earlier may last yet.
    pub departed_credits: u8,
    /// The same for the epoch to come.
    pub leaving_credits: u8,
    /// Who has reported.
    pub reports: u8,
    /// How long a handover counts.
    pub handover: u8,
    /// Whether the takeover is over.
    pub ready: bool,
    /// The one credit of the server: the entry and how long it counts as live.
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

    /// Returns how long authority lasts without renewal.
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

    /// Returns whether the actor may grant.
    pub fn may_grant(&self) -> bool {
        self.ready && self.holds()
    }

    /// Drops authority.
    pub fn stop(&mut self) {
        self.answers = PerInstance::default();
        self.support = PerInstance::default();
    }

    /// Forgets the answers that bring no more than is had already.
    pub fn discard_useless_answers(&mut self) {
        let support = self.support;
        for (answer, left) in self.answers.iter_mut().zip(support.iter()) {
            if *answer <= *left {
                *answer = 0;
            }
        }
    }

    /// Lets a tick pass. `ages` tells whether an answer loses life on its way.
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
