//! The claim protocol as a transition system.

use crate::claim::{Call, Event, Guards, Index, Owner, Record, State, CALLS, OWNERS, RECORDS};
use crate::Model;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two calls with the key were started.
    ExecutedTwice,
}

/// The protocol of one shard with a selection of its guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The enabled guards.
    pub guards: Guards,
    /// The maximum number of outages of the store.
    pub outages: u8,
}

impl Model for Shard {
    type State = State;
    type Event = Event;
    type Violation = Violation;

    fn initial_state(&self) -> State {
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
            in_flight: [None; OWNERS],
            owners: [first, Owner::default()],
            acting: 0,
            announced: false,
            calls: [Call::Waiting; CALLS],
            granted: [0; CALLS],
            starts: 0,
        }
    }

    fn transitions(&self, state: &State) -> Vec<(Event, State)> {
        let steps = events().filter_map(|event| {
            let next = self.apply(state, event)?;
            (next != *state).then_some((event, next))
        });
        steps.collect()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        (state.starts > 1).then_some(Violation::ExecutedTwice)
    }
}

/// Returns all events; [`Shard::apply`] rejects those that are not enabled.
fn events() -> impl Iterator<Item = Event> {
    let owners = (0..OWNERS).flat_map(|owner| {
        let calls = (0..CALLS).flat_map(move |call| {
            [
                Event::Claim(owner, call),
                Event::ClaimInMemory(owner, call),
                Event::Start(owner, call),
                Event::Release(owner, call),
            ]
        });
        let own = [
            Event::Crash(owner),
            Event::Read(owner),
            Event::TakeOver(owner),
            Event::Deliver(owner, true),
            Event::Deliver(owner, false),
            Event::TimeOut(owner),
            Event::ReadBack(owner),
            Event::Announce(owner, true),
            Event::Announce(owner, false),
            Event::AppendMemory(owner),
        ];
        calls.chain(own)
    });
    [Event::Outage(true), Event::Outage(false), Event::Transfer]
        .into_iter()
        .chain(owners)
}

impl Shard {
    /// Returns the state after `event`, or `None` if it is not enabled.
    fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = *state;
        match event {
            Event::Outage(down) => outage(&mut next, down)?,
            Event::Crash(owner) => crash(&mut next, owner)?,
            Event::Transfer => self.transfer(&mut next)?,
            Event::Read(owner) => self.read(&mut next, owner)?,
            Event::TakeOver(owner) => self.take_over(&mut next, owner)?,
            Event::Claim(owner, call) => self.claim(&mut next, owner, call)?,
            Event::Deliver(owner, acknowledged) => self.deliver(&mut next, owner, acknowledged)?,
            Event::TimeOut(owner) => self.time_out(&mut next, owner)?,
            Event::ReadBack(owner) => self.read_back(&mut next, owner)?,
            Event::Announce(owner, announced) => announce(&mut next, owner, announced)?,
            Event::ClaimInMemory(owner, call) => self.claim_in_memory(&mut next, owner, call)?,
            Event::AppendMemory(owner) => append_memory(&mut next, owner)?,
            Event::Start(owner, call) => self.start_call(&mut next, owner, call)?,
            Event::Release(owner, call) => self.release(&mut next, owner, call)?,
        }
        Some(next)
    }

    fn transfer(&self, state: &mut State) -> Option<()> {
        (state.acting == 0).then_some(())?;
        state.acting = 1;
        state.owners[1].predecessor_in_memory = state.announced;
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
        let needs_proof = present.predecessor_in_memory && call > 0 && self.guards.announce_memory;
        if present.crashed || !free || needs_proof || state.calls[call] != Call::Waiting {
            return None;
        }
        append(state, owner, Record::Claim(owner, call))
    }

    fn deliver(&self, state: &mut State, owner: Index, acknowledged: bool) -> Option<()> {
        let (record, number) = state.in_flight[owner]?;
        let len = state.len();
        if state.down || len >= RECORDS {
            return None;
        }
        state.in_flight[owner] = None;
        let created = len == number || !self.guards.conditional_create;
        if created {
            state.log[len] = Some(record);
        }
        let present = state.owners[owner];
        if present.pending != Some((record, number)) || present.indeterminate {
            return Some(());
        }
        if !acknowledged {
            return self.time_out(state, owner);
        }
        self.finish(state, owner, created);
        Some(())
    }

    fn time_out(&self, state: &mut State, owner: Index) -> Option<()> {
        let present = &mut state.owners[owner];
        present.pending?;
        if !self.guards.read_back {
            self.finish(state, owner, true);
            return Some(());
        }
        present.indeterminate = true;
        Some(())
    }

    fn read_back(&self, state: &mut State, owner: Index) -> Option<()> {
        let present = state.owners[owner];
        let (record, number) = present.pending?;
        if state.down || !present.indeterminate {
            return None;
        }
        match state.log.get(number).copied().flatten() {
            Some(found) => self.finish(state, owner, found == record),
            None => {
                state.in_flight[owner] = present.pending;
                state.owners[owner].indeterminate = false;
            }
        }
        Some(())
    }

    /// Ends the owner's append. `created` is whether the owner treats its record as created.
    fn finish(&self, state: &mut State, owner: Index, created: bool) {
        let present = &mut state.owners[owner];
        let Some((record, number)) = present.pending.take() else {
            return;
        };
        present.indeterminate = false;
        if !created {
            present.ready &= !self.guards.stop_at_conflict;
            present.next += usize::from(!self.guards.stop_at_conflict);
            return;
        }
        present.next = number + 1;
        present.read |= 1 << number;
        match record {
            Record::Takeover(_) => present.ready = true,
            Record::Claim(_, call) if present.memory_claim == Some(call) => {
                present.memory_claim = None
            }
            Record::Claim(_, call) => state.granted[call] |= 1 << owner,
            Record::Release(..) => {}
        }
    }

    fn claim_in_memory(&self, state: &mut State, owner: Index, call: Index) -> Option<()> {
        let present = state.owners[owner];
        let able = !present.crashed && present.ready && state.down && !claimed(state, owner);
        let acts = state.acting == owner || !self.guards.authority;
        let announced = state.announced || !self.guards.announce_memory;
        let clear = present.pending.is_none() || !self.guards.resolve_indeterminate;
        let first = call == 0 || !self.guards.first_attempts_only;
        let waits = state.calls[call] == Call::Waiting;
        if !able || !acts || !announced || !clear || !first || !waits {
            return None;
        }
        state.owners[owner].memory_claim = Some(call);
        state.granted[call] |= 1 << owner;
        Some(())
    }

    fn start_call(&self, state: &mut State, owner: Index, call: Index) -> Option<()> {
        let waits = state.calls[call] == Call::Waiting || !self.guards.start_once;
        if state.granted[call] >> owner & 1 == 0 || !waits {
            return None;
        }
        state.granted[call] &= !(1 << owner);
        state.calls[call] = Call::Started;
        state.starts += 1;
        Some(())
    }

    fn release(&self, state: &mut State, owner: Index, call: Index) -> Option<()> {
        let present = &mut state.owners[owner];
        let granted = state.granted[call] >> owner & 1 == 1;
        let able = !present.crashed && present.pending.is_none();
        if !granted || !able || state.calls[call] != Call::Waiting {
            return None;
        }
        if self.guards.release_final {
            state.calls[call] = Call::Released;
            state.granted[call] = 0;
        }
        if present.memory_claim == Some(call) {
            present.memory_claim = None;
            return Some(());
        }
        append(state, owner, Record::Release(owner, call))
    }
}

/// Starts or ends an outage of the store.
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

/// Crashes an owner, which loses its state. Its record in flight may still reach the store.
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

/// Begins to append a record to the log.
fn append(state: &mut State, owner: Index, record: Record) -> Option<()> {
    let number = state.owners[owner].next;
    if number >= RECORDS || state.in_flight[owner].is_some() {
        return None;
    }
    state.owners[owner].pending = Some((record, number));
    state.in_flight[owner] = Some((record, number));
    Some(())
}

/// Announces that an owner claims in memory, or that it has stopped doing so.
fn announce(state: &mut State, owner: Index, announced: bool) -> Option<()> {
    let present = state.owners[owner];
    let settled = present.memory_claim.is_none() && !present.predecessor_in_memory;
    if present.crashed || state.acting != owner || !announced && !settled {
        return None;
    }
    state.announced = announced;
    Some(())
}

/// Begins to append an owner's claim in memory to the log.
fn append_memory(state: &mut State, owner: Index) -> Option<()> {
    let present = state.owners[owner];
    let call = present.memory_claim?;
    if state.down || present.pending.is_some() {
        return None;
    }
    append(state, owner, Record::Claim(owner, call))
}

/// Returns whether the key is claimed, to the owner's knowledge.
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
    claimed || present.memory_claim.is_some()
}
