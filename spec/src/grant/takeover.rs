//! Handovers, reports and takeovers.

use crate::grant::change::has_seen;
use crate::grant::{Actor, Index, Mask, Pool, Relief, Slot, State, NEVER};

impl Pool {
    /// Lets an actor hand the pool over.
    pub(super) fn hand_over(&self, state: &mut State, from: Index, to: Index) -> Option<()> {
        let giver = state.instances[from].actor;
        let taker = state.instances[to].actor;
        let epochs = taker.roster.epoch.checked_sub(giver.roster.epoch)?;
        let able = state.instances[to].alive && taker.roster.members.has(to);
        let acts = self.scope.actors.has(to) && from != to && !taker.ready;
        if !giver.may_grant() || !able || !acts || epochs > 1 {
            return None;
        }
        let adopted = state.instances[from].roster.epoch >= taker.roster.epoch;
        let late = !adopted && self.guards.adopt_first;
        if giver.term >= self.scope.handovers || late {
            return None;
        }
        let taker = &mut state.instances[to].actor;
        taker.handover = giver.remaining().max(taker.handover);
        taker.ledger = giver.ledger.or(taker.ledger);
        taker.relief = Some(Relief {
            actor: from,
            term: giver.term,
        });
        let giver = &mut state.instances[from].actor;
        giver.term += 1;
        if self.guards.handover_stops {
            giver.stop();
        }
        Some(())
    }

    /// Lets an actor get the report of a member.
    pub(super) fn report(&self, state: &mut State, actor: Index, member: Index) -> Option<()> {
        let credit = self.credit();
        let acting = state.instances[actor].actor;
        let due = self.reporters(&acting).has(member) && !Mask(acting.reports).has(member);
        let asks = acting.holds() || !self.guards.report_anew;
        let reporter = &mut state.instances[member];
        let same = reporter.roster.epoch == acting.roster.epoch;
        if !due || acting.ready || !asks || !reporter.alive || !same {
            return None;
        }
        let abandons = |from| match from == actor {
            true => self.guards.abandon_own,
            false => self.guards.abandon_others,
        };
        if reporter.slot.asked().is_some_and(abandons) {
            reporter.slot = Slot::Idle;
        }
        let live = reporter.slot.is_live();
        let acting = &mut state.instances[actor].actor;
        acting.reports |= 1 << member;
        if live {
            acting.ledger = Some((member, credit));
        }
        Some(())
    }

    /// Returns who has to report to `actor`.
    pub(super) fn reporters(&self, actor: &Actor) -> Mask {
        let roster = actor.roster;
        let prior = if self.guards.report_all {
            roster.prior
        } else {
            Mask(0)
        };
        Mask(roster.members.or(prior).0 & self.scope.entries.0)
    }

    /// Brings the takeover of each actor up to date.
    pub(super) fn settle(&self, state: &mut State) {
        for index in self.scope.actors.iter() {
            let mut actor = state.instances[index].actor;
            let seen = |member: Index| has_seen(state, member, actor.roster.epoch);
            let majority = actor.roster.prior.majority(seen) || !self.guards.await_majority;
            if actor.lapse == NEVER && majority {
                let authority = self.scope.lease + self.scope.margin;
                actor.lapse = if self.guards.await_lapse {
                    authority
                } else {
                    0
                };
                actor.departing = authority + self.credit();
            }
            self.take_over(&mut actor);
            actor.forget_late();
            state.instances[index].actor = actor;
        }
    }

    /// Tells whether the takeover of `actor` is over.
    pub(super) fn take_over(&self, actor: &mut Actor) {
        if !actor.holds() {
            actor.ready &= !self.guards.restart_takeover;
            actor.credit = self.credit();
            actor.reports &= if self.guards.report_anew { 0 } else { u8::MAX };
            return;
        }
        let settled = actor.lapse != NEVER;
        let handed = actor.handover > 0 || !self.guards.handover_in_time && actor.relief.is_some();
        let reporters = self.reporters(actor);
        let departed = actor.departed == 0 || !self.guards.await_departed;
        let reported = departed && actor.reports & reporters.0 == reporters.0;
        let known = actor.credit == 0 || reported || !self.guards.await_credits;
        let safe = settled || !self.guards.handover_majority;
        actor.ready |= safe && handed || actor.lapse == 0 && known;
        if actor.ready {
            actor.credit = 0;
            actor.reports = 0;
        }
    }
}
