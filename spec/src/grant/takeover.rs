//! Handovers, reports and takeovers.

use crate::grant::change::has_seen;
use crate::grant::{Actor, Index, Mask, Pool, Release, Slot, State, NEVER};

impl Pool {
    /// Hands the pool over from one actor to another.
    pub(super) fn hand_over(&self, state: &mut State, from: Index, to: Index) -> Option<()> {
        let predecessor = state.instances[from].actor;
        let successor = state.instances[to].actor;
        let epochs = successor
            .roster
            .epoch
            .checked_sub(predecessor.roster.epoch)?;
        let able = state.instances[to].alive && successor.roster.members.has(to);
        let acts = self.scope.actors.has(to) && from != to && !successor.ready;
        if !predecessor.may_grant() || !able || !acts || epochs > 1 {
            return None;
        }
        let adopted = state.instances[from].roster.epoch >= successor.roster.epoch;
        let late = !adopted && self.guards.adopt_first;
        if predecessor.term >= self.scope.handovers || late {
            return None;
        }
        let successor = &mut state.instances[to].actor;
        successor.handover = predecessor.remaining().max(successor.handover);
        successor.live_credit = predecessor.live_credit.or(successor.live_credit);
        successor.release = Some(Release {
            actor: from,
            term: predecessor.term,
        });
        let predecessor = &mut state.instances[from].actor;
        predecessor.term += 1;
        if self.guards.handover_stops {
            predecessor.stop();
        }
        Some(())
    }

    /// Delivers the report of `member` to `actor`.
    pub(super) fn report(&self, state: &mut State, actor: Index, member: Index) -> Option<()> {
        let credit = self.credit_lifetime();
        let acting = state.instances[actor].actor;
        let due = self.reporters(&acting).has(member) && !Mask(acting.reports).has(member);
        let asks = acting.holds() || !self.guards.fresh_reports;
        let reporter = &mut state.instances[member];
        let same = reporter.roster.epoch == acting.roster.epoch;
        if !due || acting.ready || !asks || !reporter.alive || !same {
            return None;
        }
        let abandons = |from| match from == actor {
            true => self.guards.abandon_own,
            false => self.guards.abandon_others,
        };
        if reporter.slot.pending_from().is_some_and(abandons) {
            reporter.slot = Slot::Idle;
        }
        let live = reporter.slot.is_live();
        let acting = &mut state.instances[actor].actor;
        acting.reports |= 1 << member;
        if live {
            acting.live_credit = Some((member, credit));
        }
        Some(())
    }

    /// Returns the members that have to report to `actor`.
    pub(super) fn reporters(&self, actor: &Actor) -> Mask {
        let roster = actor.roster;
        let prior = if self.guards.report_all {
            roster.prior
        } else {
            Mask(0)
        };
        Mask(roster.members.or(prior).0 & self.scope.entries.0)
    }

    /// Updates the takeover of each actor after an event.
    pub(super) fn update_takeovers(&self, state: &mut State) {
        for index in self.scope.actors.iter() {
            let mut actor = state.instances[index].actor;
            let seen = |member: Index| has_seen(state, member, actor.roster.epoch);
            let majority = actor.roster.prior.majority(seen) || !self.guards.await_majority;
            if actor.prior_authority == NEVER && majority {
                let authority = self.scope.lease + self.scope.margin;
                actor.prior_authority = if self.guards.await_lease {
                    authority
                } else {
                    0
                };
                actor.leaving_credits = authority + self.credit_lifetime();
            }
            self.update_takeover(&mut actor);
            actor.discard_useless_answers();
            state.instances[index].actor = actor;
        }
    }

    /// Updates whether the takeover of `actor` is complete. Without authority, it starts again.
    pub(super) fn update_takeover(&self, actor: &mut Actor) {
        if !actor.holds() {
            actor.ready &= !self.guards.restart_takeover;
            actor.prior_credits = self.credit_lifetime();
            actor.reports &= if self.guards.fresh_reports {
                0
            } else {
                u8::MAX
            };
            return;
        }
        let settled = actor.prior_authority != NEVER;
        let handed = actor.handover > 0 || !self.guards.handover_in_time && actor.release.is_some();
        let reporters = self.reporters(actor);
        let departed = actor.departed_credits == 0 || !self.guards.await_departed;
        let reported = departed && actor.reports & reporters.0 == reporters.0;
        let known = actor.prior_credits == 0 || reported || !self.guards.await_credits;
        let safe = settled || !self.guards.handover_majority;
        actor.ready |= safe && handed || actor.prior_authority == 0 && known;
        if actor.ready {
            actor.prior_credits = 0;
            actor.reports = 0;
        }
    }
}
