//! Changes of the roster.

use crate::grant::{Change, Event, Index, Pool, Roster, State, NEVER};

impl Pool {
    /// Returns the writes of the roster that `writer` may attempt.
    pub(super) fn writes(&self, state: &State, writer: Index) -> impl Iterator<Item = Event> + '_ {
        let roster = state.instances[writer].roster;
        let open = roster.epoch < self.scope.epochs && self.scope.writers.has(writer);
        let changes = self.scope.changes.iter().filter(move |_| open);
        let next = move |change: &Change| roster.next(*change);
        let changed = changes.map(next).filter(|next| next.members != next.prior);
        changed.flat_map(move |next| {
            [
                Event::Write(writer, next, true),
                Event::Write(writer, next, false),
            ]
        })
    }

    /// Writes the next roster to the store.
    pub(super) fn write(
        &self,
        state: &mut State,
        writer: Index,
        roster: Roster,
        acknowledged: bool,
    ) -> Option<()> {
        let base = state.instances[writer].roster;
        if !state.instances[writer].alive || !base.members.has(writer) {
            return None;
        }
        if self.guards.await_settled && !is_settled(state, base) {
            return None;
        }
        let stored = state.stored_roster == base || !self.guards.conditional_write;
        if stored {
            state.stored_roster = roster;
        }
        if stored && acknowledged || !acknowledged && !self.guards.adopt_stored {
            self.adopt(state, writer, roster)?;
        }
        Some(())
    }

    /// Adopts a roster at an instance. An actor that may not grant acts under it at once.
    pub(super) fn adopt(&self, state: &mut State, index: Index, roster: Roster) -> Option<()> {
        let instance = &mut state.instances[index];
        let present = instance.roster.epoch;
        let newer = roster.epoch > present || !self.guards.adopt_newer;
        if !instance.alive || !newer || roster.epoch == present {
            return None;
        }
        state.epoch_decreased |= roster.epoch < present;
        instance.roster = roster;
        if !self.scope.actors.has(index) {
            instance.actor = self.idle_actor(roster);
        } else if !instance.actor.may_grant() {
            self.switch(state, index)?;
        }
        Some(())
    }

    /// Makes an instance act under the roster under which it votes.
    pub(super) fn switch(&self, state: &mut State, index: Index) -> Option<()> {
        let instance = &mut state.instances[index];
        let old = instance.actor;
        if !instance.alive || old.roster.epoch == instance.roster.epoch {
            return None;
        }
        let mut actor = self.idle_actor(instance.roster);
        actor.term = old.term;
        actor.prior_authority = NEVER;
        actor.leaving_credits = NEVER;
        let next = old.roster.epoch + 1 == instance.roster.epoch;
        actor.departed_credits = if next { old.leaving_credits } else { NEVER };
        if next && old.may_grant() {
            actor.handover = old.remaining();
            actor.live_credit = old.live_credit;
        }
        instance.actor = actor;
        Some(())
    }
}

/// Returns whether majorities of the epoch of `roster` and of the previous one have seen it.
pub fn is_settled(state: &State, roster: Roster) -> bool {
    let seen = |index| has_seen(state, index, roster.epoch);
    roster.prior.majority(seen) && roster.members.majority(seen)
}

/// Returns whether an instance has seen `epoch`, or has crashed and can support no actor.
pub(super) fn has_seen(state: &State, index: Index, epoch: u8) -> bool {
    let instance = &state.instances[index];
    !instance.alive || instance.roster.epoch >= epoch
}
