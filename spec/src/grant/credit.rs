//! Credits, from the grant to the completion of the request.

use crate::grant::{Index, PerInstance, Pool, Slot, State};

impl Pool {
    /// Grants a credit of `actor` to `entry`.
    pub(super) fn grant(&self, state: &mut State, actor: Index, entry: Index) -> Option<()> {
        let acting = state.instances[actor].actor;
        let asker = state.instances[entry];
        let asks = asker.alive && asker.slot == Slot::Idle && self.scope.entries.has(entry);
        let same = asker.roster.epoch == acting.roster.epoch;
        let member = acting.roster.members.has(entry) || !self.guards.members_only;
        let free = acting.may_grant() && acting.live_credit.is_none();
        if !asks || !same || !member || !free {
            return None;
        }
        let left = self.scope.credit_ttl;
        state.instances[actor].actor.live_credit = Some((entry, self.credit_lifetime()));
        state.instances[entry].slot = Slot::Granted { from: actor, left };
        Some(())
    }

    /// Delivers a granted credit to its entry instance.
    pub(super) fn receive_credit(&self, state: &mut State, entry: Index) -> Option<()> {
        let slot = &mut state.instances[entry].slot;
        let Slot::Granted { from, left } = *slot else {
            return None;
        };
        let left = if self.guards.expiry_from_request {
            left
        } else {
            self.scope.credit_ttl
        };
        *slot = Slot::Held { from, left };
        Some(())
    }

    /// Dispatches a request of an entry instance on its credit.
    pub(super) fn dispatch(&self, state: &mut State, entry: Index) -> Option<()> {
        let slot = &mut state.instances[entry].slot;
        let Slot::Held { from, .. } = *slot else {
            return None;
        };
        *slot = Slot::Running {
            from,
            left: self.scope.time_limit,
        };
        Some(())
    }

    /// Completes a request before its time limit.
    pub(super) fn complete(&self, state: &mut State, entry: Index) -> Option<()> {
        let Slot::Running { from, .. } = state.instances[entry].slot else {
            return None;
        };
        let live_credit = state.instances[from].actor.live_credit;
        if !state.instances[entry].alive {
            return None;
        }
        state.instances[entry].slot = Slot::Idle;
        if live_credit.is_some_and(|(holder, _)| holder == entry) {
            state.instances[from].actor.live_credit = None;
        }
        Some(())
    }

    /// Crashes an instance. A request that it has dispatched keeps running at the server.
    pub(super) fn crash(&self, state: &mut State, index: Index) -> Option<()> {
        let instance = &mut state.instances[index];
        if !instance.alive || !self.scope.crashes.has(index) {
            return None;
        }
        instance.alive = false;
        instance.actor = self.idle_actor(instance.roster);
        instance.votes = PerInstance::default();
        if !matches!(instance.slot, Slot::Running { .. }) {
            instance.slot = Slot::Idle;
        }
        Some(())
    }
}
