//! The protocol as pure functions from state to state.

use crate::grant::{
    Actor, Event, Guards, Index, Instance, Roster, Row, Scope, Slot, State, Support, INSTANCES,
};
use crate::Model;

/// What must not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More requests are, or may yet come, at the server than its allowance.
    Overload,
    /// Two actors may grant.
    TwoActors,
    /// The epoch of an instance has fallen.
    EpochFell,
}

/// The protocol within a scope, with some of its guards.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The bounds.
    pub scope: Scope,
    /// The guards that are in place.
    pub guards: Guards,
}

impl Model for Pool {
    type State = State;
    type Event = Event;
    type Fault = Fault;

    fn start(&self) -> State {
        let roster = self.scope.roster();
        let owner = roster.owner(self.scope.order);
        let instance = |index| self.first(roster, owner, index);
        State {
            store: roster,
            instances: Row::new(instance),
            drift: self.scope.drift,
            fell: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Event, State)> {
        let steps = self.events(state).into_iter().filter_map(|event| {
            let next = self.apply(state, event)?;
            (next != *state).then_some((event, next))
        });
        steps.collect()
    }

    fn fault(&self, state: &State) -> Option<Fault> {
        let instances = state.instances.iter();
        let live = instances
            .clone()
            .filter(|instance| instance.slot.is_live())
            .count();
        let grantors = instances
            .filter(|instance| instance.actor.may_grant())
            .count();
        if state.fell {
            return Some(Fault::EpochFell);
        }
        if live > 1 {
            return Some(Fault::Overload);
        }
        (grantors > 1).then_some(Fault::TwoActors)
    }
}

impl Pool {
    /// Returns the state after `event`, if it can happen.
    pub fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = *state;
        match event {
            Event::Tick(lagging) => self.tick(&mut next, lagging)?,
            Event::Heartbeat(actor, member) => self.heartbeat(&mut next, actor, member)?,
            Event::Receive(actor, member) => self.receive(&mut next, actor, member)?,
            Event::Write(writer, roster, learns) => {
                self.write(&mut next, writer, roster, learns)?
            }
            Event::Read(reader) => self.adopt(&mut next, reader, state.store)?,
            Event::Tell(from, to) => self.adopt(&mut next, to, state.instances[from].roster)?,
            Event::Switch(actor) => self.switch(&mut next, actor)?,
            Event::HandOver(from, to) => self.hand_over(&mut next, from, to)?,
            Event::Report(actor, member) => self.report(&mut next, actor, member)?,
            Event::Grant(actor, entry) => self.grant(&mut next, actor, entry)?,
            Event::Take(entry) => self.take(&mut next, entry)?,
            Event::Dispatch(entry) => self.dispatch(&mut next, entry)?,
            Event::Finish(entry) => self.finish(&mut next, entry)?,
            Event::Crash(index) => self.crash(&mut next, index)?,
        }
        self.settle(&mut next);
        Some(next)
    }

    /// Returns what may happen, some of it in vain.
    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = vec![Event::Tick(None)];
        let instances = self.scope.instances().iter();
        if state.drift > 0 {
            events.extend(instances.clone().map(|index| Event::Tick(Some(index))));
        }
        for index in instances {
            self.events_of(state, index, &mut events);
        }
        events
    }

    /// Adds what the instance `index` may do.
    fn events_of(&self, state: &State, index: Index, events: &mut Vec<Event>) {
        let pairs = self.scope.instances().iter().map(|other| (index, other));
        let news = |from: Index| state.instances[from].roster != state.store;
        if self.scope.actors.has(index) {
            events.extend(pairs.clone().flat_map(|(a, b)| {
                [
                    Event::Heartbeat(a, b),
                    Event::Receive(a, b),
                    Event::HandOver(a, b),
                    Event::Report(a, b),
                    Event::Grant(a, b),
                ]
            }));
            events.push(Event::Switch(index));
        }
        if self.scope.entries.has(index) {
            events.extend([
                Event::Take(index),
                Event::Dispatch(index),
                Event::Finish(index),
            ]);
        }
        events.extend(self.writes(state, index));
        let tells = pairs.filter(|&(_, from)| news(from) || !self.guards.adopt_newer);
        events.extend(tells.map(|(to, from)| Event::Tell(from, to)));
        events.extend([Event::Read(index), Event::Crash(index)]);
    }

    /// Returns the instance `index` of the first state, in which `owner` acts.
    fn first(&self, roster: Roster, owner: Option<Index>, index: Index) -> Instance {
        let scope = &self.scope;
        let acts = owner == Some(index);
        let mut actor = self.idle(roster);
        actor.ready = acts;
        let support = |index| {
            if roster.members.has(index) {
                scope.lease
            } else {
                0
            }
        };
        if acts {
            actor.support = Row::new(support);
        }
        let mut votes = Row::<Support>::default();
        if let Some(owner) = owner.filter(|_| roster.members.has(index)) {
            votes[owner] = Support {
                actor: owner,
                term: 0,
                left: self.vote(),
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

    /// Returns an actor that has done nothing under the first roster.
    pub(super) fn idle(&self, roster: Roster) -> Actor {
        Actor {
            roster,
            answers: Row::default(),
            support: Row::default(),
            term: 0,
            relief: None,
            lapse: 0,
            credit: self.credit(),
            departed: 0,
            departing: 0,
            reports: 0,
            handover: 0,
            ready: false,
            ledger: None,
        }
    }

    /// Returns how long a member supports an actor.
    pub(super) fn vote(&self) -> u8 {
        self.scope.lease
            + if self.guards.vote_margin {
                self.scope.margin
            } else {
                0
            }
    }

    /// Returns how long an actor counts a credit as live.
    pub(super) fn credit(&self) -> u8 {
        let limit = if self.guards.count_limit {
            self.scope.time_limit
        } else {
            0
        };
        let margin = if self.guards.ledger_margin {
            self.scope.margin
        } else {
            0
        };
        self.scope.credit_ttl + limit + margin
    }

    /// Lets a tick pass on every clock but the one that lags.
    fn tick(&self, state: &mut State, lagging: Option<Index>) -> Option<()> {
        if lagging.is_some() {
            state.drift = state.drift.checked_sub(1)?;
        }
        for index in (0..INSTANCES).filter(|&index| Some(index) != lagging) {
            let instance = &mut state.instances[index];
            instance.actor.tick(self.guards.lease_from_sent);
            instance.slot.tick(self.guards.expiry_from_ask);
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
