//! The protocol as pure functions from state to state.

use crate::claim::{Call, Event, Guards, Index, Owner, Record, State, CALLS, OWNERS, RECORDS};
use crate::Model;

/// What must not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The key ran twice.
    RanTwice,
}

/// The protocol with some of its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The guards that are in place.
    pub guards: Guards,
    /// How many outages of the store may come.
    pub outages: u8,
}

impl Model for Shard {
    type State = State;
    type Event = Event;
    type Fault = Fault;

    fn start(&self) -> State {
        let mut log = [None; RECORDS];
        log[0] = Some(Record::Takeover(0));
        let first = Owner {
            ready: true,
            next: 1,
            read: 1,
            ..Owner::default()
        };
        State {
            down: false,
            outages: self.outages,
            log,
            flights: [None; OWNERS],
            owners: [first, Owner::default()],
            acting: 0,
            marked: false,
            calls: [Call::Waiting; CALLS],
            cleared: [0; CALLS],
            starts: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Event, State)> {
        let steps = events().filter_map(|event| {
            let next = self.apply(state, event)?;
            (next != *state).then_some((event, next))
        });
        steps.collect()
    }

    fn fault(&self, state: &State) -> Option<Fault> {
        (state.starts > 1).then_some(Fault::RanTwice)
    }
}

/// Returns what may happen, some of it in vain.
fn events() -> impl Iterator<Item = Event> {
    let owners = (0..OWNERS).flat_map(|owner| {
        let calls = (0..CALLS).flat_map(move |call| {
            [
                Event::Claim(owner, call),
                Event::Remember(owner, call),
                Event::Start(owner, call),
                Event::Release(owner, call),
            ]
        });
        let own = [
            Event::Crash(owner),
            Event::Read(owner),
            Event::TakeOver(owner),
            Event::Land(owner, true),
            Event::Land(owner, false),
            Event::Doubt(owner),
            Event::Resolve(owner),
            Event::Mark(owner, true),
            Event::Mark(owner, false),
            Event::Log(owner),
        ];
        calls.chain(own)
    });
    [Event::Outage(true), Event::Outage(false), Event::Move]
        .into_iter()
        .chain(owners)
}

impl Shard {
    /// Returns the state after `event`, if it can happen.
    fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = *state;
        match event {
            Event::Outage(down) => outage(&mut next, down)?,
            Event::Crash(owner) => crash(&mut next, owner)?,
            Event::Move => self.transfer(&mut next)?,
            Event::Read(owner) => self.read(&mut next, owner)?,
            Event::TakeOver(owner) => self.take_over(&mut next, owner)?,
            Event::Claim(owner, call) => self.claim(&mut next, owner, call)?,
            Event::Land(owner, learns) => self.land(&mut next, owner, learns)?,
            Event::Doubt(owner) => self.doubt(&mut next, owner)?,
            Event::Resolve(owner) => self.resolve(&mut next, owner)?,
            Event::Mark(owner, marked) => mark(&mut next, owner, marked)?,
            Event::Remember(owner, call) => self.remember(&mut next, owner, call)?,
            Event::Log(owner) => log(&mut next, owner)?,
            Event::Start(owner, call) => self.start_call(&mut next, owner, call)?,
            Event::Release(owner, call) => self.release(&mut next, owner, call)?,
        }
        Some(next)
    }

    fn transfer(&self, state: &mut State) -> Option<()> {
        (state.acting == 0).then_some(())?;
        state.acting = 1;
        state.owners[1].wary = state.marked;
        Some(())
    }

    fn read(&self, state: &mut State, owner: Index) -> Option<()> {
        let present = &mut state.owners[owner];
        if state.down || present.crashed || present.pending.is_some() {
            return None;
        }
        let record = state.log.get(present.next).copied().flatten()?;
        let foreign = matches!(record, Record::Takeover(other) if other != owner);
        present.ready &= !foreign || !self.guards.stop_at_takeover;
        present.read |= 1 << present.next;
        present.next += 1;
        Some(())
    }

    fn take_over(&self, state: &mut State, owner: Index) -> Option<()> {
        let present = state.owners[owner];
        let acts = state.acting == owner || !self.guards.authority;
        if present.crashed || present.ready || present.pending.is_some() || !acts {
            return None;
        }
        if !self.guards.takeover_record {
            state.owners[owner].ready = present.next == state.len();
            return Some(());
        }
        append(state, owner, Record::Takeover(owner))
    }

    fn claim(&self, state: &mut State, owner: Index, call: Index) -> Option<()> {
        let present = state.owners[owner];
        let free = present.ready && present.pending.is_none() && !claimed(state, owner);
        let unproven = present.wary && call > 0 && self.guards.mark_memory;
        if present.crashed || !free || unproven || state.calls[call] != Call::Waiting {
            return None;
        }
        append(state, owner, Record::Claim(owner, call))
    }

    fn land(&self, state: &mut State, owner: Index, learns: bool) -> Option<()> {
        let (record, number) = state.flights[owner]?;
        let len = state.len();
        if state.down || len >= RECORDS {
            return None;
        }
        state.flights[owner] = None;
        let created = len == number || !self.guards.conditional_create;
        if created {
            state.log[len] = Some(record);
        }
        let present = state.owners[owner];
        if present.pending != Some((record, number)) || present.doubt {
            return Some(());
        }
        if !learns {
            return self.doubt(state, owner);
        }
        self.finish(state, owner, created);
        Some(())
    }

    fn doubt(&self, state: &mut State, owner: Index) -> Option<()> {
        let present = &mut state.owners[owner];
        present.pending?;
        if !self.guards.read_back {
            self.finish(state, owner, true);
            return Some(());
        }
        present.doubt = true;
        Some(())
    }

    fn resolve(&self, state: &mut State, owner: Index) -> Option<()> {
        let present = state.owners[owner];
        let (record, number) = present.pending?;
        if state.down || !present.doubt {
            return None;
        }
        match state.log.get(number).copied().flatten() {
            Some(found) => self.finish(state, owner, found == record),
            None => {
                state.flights[owner] = present.pending;
                state.owners[owner].doubt = false;
            }
        }
        Some(())
    }

    /// Lets the owner learn whether its record was created.
    fn finish(&self, state: &mut State, owner: Index, created: bool) {
        let present = &mut state.owners[owner];
        let Some((record, number)) = present.pending.take() else {
            return;
        };
        present.doubt = false;
        if !created {
            present.ready &= !self.guards.stop_at_conflict;
            present.next += usize::from(!self.guards.stop_at_conflict);
            return;
        }
        present.next = number + 1;
        present.read |= 1 << number;
        match record {
            Record::Takeover(_) => present.ready = true,
            Record::Claim(_, call) if present.memory == Some(call) => present.memory = None,
            Record::Claim(_, call) => state.cleared[call] |= 1 << owner,
            Record::Release(..) => {}
        }
    }

    fn remember(&self, state: &mut State, owner: Index, call: Index) -> Option<()> {
        let present = state.owners[owner];
        let able = !present.crashed && present.ready && state.down && !claimed(state, owner);
        let acts = state.acting == owner || !self.guards.authority;
        let marked = state.marked || !self.guards.mark_memory;
        let clear = present.pending.is_none() || !self.guards.settle_doubt;
        let first = call == 0 || !self.guards.first_only;
        let waits = state.calls[call] == Call::Waiting;
        if !able || !acts || !marked || !clear || !first || !waits {
            return None;
        }
        state.owners[owner].memory = Some(call);
        state.cleared[call] |= 1 << owner;
        Some(())
    }

    fn start_call(&self, state: &mut State, owner: Index, call: Index) -> Option<()> {
        let waits = state.calls[call] == Call::Waiting || !self.guards.start_once;
        if state.cleared[call] >> owner & 1 == 0 || !waits {
            return None;
        }
        state.cleared[call] &= !(1 << owner);
        state.calls[call] = Call::Started;
        state.starts += 1;
        Some(())
    }

    fn release(&self, state: &mut State, owner: Index, call: Index) -> Option<()> {
        let present = &mut state.owners[owner];
        let cleared = state.cleared[call] >> owner & 1 == 1;
        let able = !present.crashed && present.pending.is_none();
        if !cleared || !able || state.calls[call] != Call::Waiting {
            return None;
        }
        if self.guards.release_last {
            state.calls[call] = Call::Released;
            state.cleared[call] = 0;
        }
        if present.memory == Some(call) {
            present.memory = None;
            return Some(());
        }
        append(state, owner, Record::Release(owner, call))
    }
}

/// Lets the store go down or come back.
fn outage(state: &mut State, down: bool) -> Option<()> {
    if state.down == down {
        return None;
    }
    if down {
        state.outages = state.outages.checked_sub(1)?;
    }
    state.down = down;
    Some(())
}

/// Lets an owner lose all it knows. A record on its way stays on its way.
fn crash(state: &mut State, owner: Index) -> Option<()> {
    if state.owners[owner].crashed {
        return None;
    }
    state.owners[owner] = Owner {
        crashed: true,
        ..Owner::default()
    };
    Some(())
}

/// Sends a record to the store.
fn append(state: &mut State, owner: Index, record: Record) -> Option<()> {
    let number = state.owners[owner].next;
    if number >= RECORDS || state.flights[owner].is_some() {
        return None;
    }
    state.owners[owner].pending = Some((record, number));
    state.flights[owner] = Some((record, number));
    Some(())
}

/// Lets an owner mark that it claims in memory, or that it does no more.
fn mark(state: &mut State, owner: Index, marked: bool) -> Option<()> {
    let present = state.owners[owner];
    let settled = present.memory.is_none() && !present.wary;
    if present.crashed || state.acting != owner || !marked && !settled {
        return None;
    }
    state.marked = marked;
    Some(())
}

/// Lets an owner append what it claimed in memory.
fn log(state: &mut State, owner: Index) -> Option<()> {
    let present = state.owners[owner];
    let call = present.memory?;
    if state.down || present.pending.is_some() {
        return None;
    }
    append(state, owner, Record::Claim(owner, call))
}

/// Tells whether the key is claimed, as far as an owner knows.
fn claimed(state: &State, owner: Index) -> bool {
    let present = state.owners[owner];
    let mut claimed = false;
    for (number, record) in state.log.iter().enumerate() {
        if present.read >> number & 1 == 0 {
            continue;
        }
        match record {
            Some(Record::Claim(..)) => claimed = true,
            Some(Record::Release(..)) => claimed = false,
            _ => {}
        }
    }
    claimed || present.memory.is_some()
}
