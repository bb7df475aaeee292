//! Votes and authority.

use crate::grant::{Index, Pool, State, Support};

impl Pool {
    /// Delivers a heartbeat of `actor` to `member`. An actor supports itself with each heartbeat,
    /// and sends none if it cannot.
    pub(super) fn heartbeat(&self, state: &mut State, actor: Index, member: Index) -> Option<()> {
        let members = state.instances[actor].actor.roster.members;
        let able = state.instances[actor].alive && state.instances[member].alive;
        let alone = members.0.count_ones() == 1;
        if !able || !members.has(actor) || !members.has(member) || (actor == member) != alone {
            return None;
        }
        let own = self.support(state, actor, actor);
        if !own || !alone && !self.support(state, actor, member) {
            return None;
        }
        let acting = &mut state.instances[actor].actor;
        acting.support[actor] = self.scope.lease;
        if !alone {
            acting.answers[member] = self.scope.lease;
        }
        Some(())
    }

    /// Delivers the answer of `member` to `actor`.
    pub(super) fn receive_answer(
        &self,
        state: &mut State,
        actor: Index,
        member: Index,
    ) -> Option<()> {
        let acting = &mut state.instances[actor].actor;
        let left = std::mem::take(&mut acting.answers[member]);
        acting.support[member] = left.max(acting.support[member]);
        Some(())
    }

    /// Handles a heartbeat of `actor` at `member`. Returns whether `member` supports `actor`.
    pub fn support(&self, state: &mut State, actor: Index, member: Index) -> bool {
        let acting = state.instances[actor].actor;
        let epoch = state.instances[member].roster.epoch;
        let stale = epoch > acting.roster.epoch && self.guards.refuse_stale;
        let Some(duty) = acting.roster.owner(self.scope.order) else {
            return false;
        };
        let support = &mut state.instances[member].votes[duty];
        let released = acting.release.is_some_and(|release| {
            let covered = support.term <= release.term || !self.guards.release_sequence;
            support.actor == release.actor && covered
        });
        let free = support.left == 0 || support.actor == actor || released;
        if stale || epoch < acting.roster.epoch || self.guards.one_actor && !free {
            return false;
        }
        *support = Support {
            actor,
            term: acting.term,
            left: self.vote_lifetime(),
        };
        true
    }
}
