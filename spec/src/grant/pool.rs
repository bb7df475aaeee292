//! The protocol of one pool as a transition system.

use crate::grant::{
    Actor, Event, Guards, Index, Instance, PerInstance, Roster, Scope, Slot, State, Support,
    INSTANCES,
};
use crate::Model;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The server has, or may still receive, more requests than its allowance.
    Overload,
    /// Two actors may grant credits at the same time.
    TwoActors,
    /// The epoch of an instance has decreased.
    EpochDecreased,
}

/// The protocol of one pool within a scope, with a selection of its guards.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The bounds of the exploration.
    pub scope: Scope,
    /// The enabled guards.
    pub guards: Guards,
}

impl Model for Pool {
    type State = State;
    type Event = Event;
    type Violation = Violation;

    fn initial_state(&self) -> State {
        let roster = self.scope.roster();
        let owner = roster.owner(self.scope.order);
        let instance = |index| self.initial_instance(roster, owner, index);
        State {
            stored_roster: roster,
            instances: PerInstance::new(instance),
            drift_left: self.scope.drift,
            epoch_decreased: false,
        }
    }

    fn transitions(&self, state: &State) -> Vec<(Event, State)> {
        let steps = self.events(state).into_iter().filter_map(|event| {
            let next = self.apply(state, event)?;
            (next != *state).then_some((event, next))
        });
        steps.collect()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let instances = state.instances.iter();
        let live = instances
            .clone()
            .filter(|instance| instance.slot.is_live())
            .count();
        let grantors = instances
            .filter(|instance| instance.actor.may_grant())
            .count();
        if state.epoch_decreased {
            return Some(Violation::EpochDecreased);
        }
        if live > 1 {
            return Some(Violation::Overload);
        }
        (grantors > 1).then_some(Violation::TwoActors)
    }
}

impl Pool {
    /// Returns the state after `event`, or `None` if it is not enabled.
    pub fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = *state;
        match event {
            Event::Tick(lagging) => self.tick(&mut next, lagging)?,
            Event::Heartbeat(actor, member) => self.heartbeat(&mut next, actor, member)?,
            Event::ReceiveAnswer(actor, member) => self.receive_answer(&mut next, actor, member)?,
            Event::Write(writer, roster, acknowledged) => {
                self.write(&mut next, writer, roster, acknowledged)?
            }
            Event::Read(reader) => self.adopt(&mut next, reader, state.stored_roster)?,
            Event::Gossip(from, to) => self.adopt(&mut next, to, state.instances[from].roster)?,
            Event::Switch(actor) => self.switch(&mut next, actor)?,
            Event::HandOver(from, to) => self.hand_over(&mut next, from, to)?,
            Event::Report(actor, member) => self.report(&mut next, actor, member)?,
            Event::Grant(actor, entry) => self.grant(&mut next, actor, entry)?,
            Event::ReceiveCredit(entry) => self.receive_credit(&mut next, entry)?,
            Event::Dispatch(entry) => self.dispatch(&mut next, entry)?,
            Event::Complete(entry) => self.complete(&mut next, entry)?,
            Event::Crash(index) => self.crash(&mut next, index)?,
        }
        self.update_takeovers(&mut next);
        Some(next)
    }

    /// Returns candidate events; [`Pool::apply`] rejects those that are not enabled.
    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = vec![Event::Tick(None)];
        let instances = self.scope.instances().iter();
        if state.drift_left > 0 {
            events.extend(instances.clone().map(|index| Event::Tick(Some(index))));
        }
        for index in instances {
            self.push_events(state, index, &mut events);
        }
        events
    }

    /// Adds the candidate events of the instance `index`.
    fn push_events(&self, state: &State, index: Index, events: &mut Vec<Event>) {
        let pairs = self.scope.instances().iter().map(|other| (index, other));
        let differs_from_stored = |from: Index| state.instances[from].roster != state.stored_roster;
        if self.scope.actors.has(index) {
            events.extend(pairs.clone().flat_map(|(a, b)| {
                [
                    Event::Heartbeat(a, b),
                    Event::ReceiveAnswer(a, b),
                    Event::HandOver(a, b),
                    Event::Report(a, b),
                    Event::Grant(a, b),
                ]
            }));
            events.push(Event::Switch(index));
        }
        if self.scope.entries.has(index) {
            events.extend([
                Event::ReceiveCredit(index),
                Event::Dispatch(index),
                Event::Complete(index),
            ]);
        }
        events.extend(self.writes(state, index));
        let gossip =
            pairs.filter(|&(_, from)| differs_from_stored(from) || !self.guards.adopt_newer);
        events.extend(gossip.map(|(to, from)| Event::Gossip(from, to)));
        events.extend([Event::Read(index), Event::Crash(index)]);
    }

    /// Returns the instance `index` in the initial state, in which `owner` acts.
    fn initial_instance(&self, roster: Roster, owner: Option<Index>, index: Index) -> Instance {
        let scope = &self.scope;
        let acts = owner == Some(index);
        let mut actor = self.idle_actor(roster);
        actor.ready = acts;
        let support = |index| {
            if roster.members.has(index) {
                scope.lease
            } else {
                0
            }
        };
        if acts {
            actor.support = PerInstance::new(support);
        }
        let mut votes = PerInstance::<Support>::default();
        if let Some(owner) = owner.filter(|_| roster.members.has(index)) {
            votes[owner] = Support {
                actor: owner,
                term: 0,
                left: self.vote_lifetime(),
            };
        }
        Instance {
            alive: true,
            roster,
            votes,
            actor,
            slot: Slot::Idle,
        }
    }

    /// Returns an actor that has done nothing under `roster`.
    pub(super) fn idle_actor(&self, roster: Roster) -> Actor {
        Actor {
            roster,
            answers: PerInstance::default(),
            support: PerInstance::default(),
            term: 0,
            release: None,
            prior_authority: 0,
            prior_credits: self.credit_lifetime(),
            departed_credits: 0,
            leaving_credits: 0,
            reports: 0,
            handover: 0,
            ready: false,
            live_credit: None,
        }
    }

    /// Returns the number of ticks for which a member supports an actor.
    pub(super) fn vote_lifetime(&self) -> u8 {
        self.scope.lease
            + if self.guards.vote_margin {
                self.scope.margin
            } else {
                0
            }
    }

    /// Returns the number of ticks for which an actor counts a credit as live.
    pub(super) fn credit_lifetime(&self) -> u8 {
        let limit = if self.guards.count_time_limit {
            self.scope.time_limit
        } else {
            0
        };
        let margin = if self.guards.credit_margin {
            self.scope.margin
        } else {
            0
        };
        self.scope.credit_ttl + limit + margin
    }

    /// Advances every clock by a tick, except the lagging one.
    fn tick(&self, state: &mut State, lagging: Option<Index>) -> Option<()> {
        if lagging.is_some() {
            state.drift_left = state.drift_left.checked_sub(1)?;
        }
        for index in (0..INSTANCES).filter(|&index| Some(index) != lagging) {
            let instance = &mut state.instances[index];
            instance.actor.tick(self.guards.lease_from_sent);
            instance.slot.tick(self.guards.expiry_from_request);
            for support in instance.votes.iter_mut() {
                support.left = support.left.saturating_sub(1);
                if support.left == 0 {
                    *support = Support::default();
                }
            }
        }
        Some(())
    }
}
