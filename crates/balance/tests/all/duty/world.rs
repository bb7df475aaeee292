//! Instances, store and receiver, for the search over all orders of events.

use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use balance::duty::{
    Agent, Call, Context, Delivery, Generation, Object, Outcome, Reading, Step, Stored, Timing,
    Write,
};
use clock::Instant;

use super::model::{Receiver, Store, LEASE};

/// The longest time that an operation of the store may take.
const OPERATION_TIME: u64 = 1;

const NAMES: [&str; 3] = ["a", "b", "c"];

/// A fault of the program that is planted, to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Planted {
    Nothing,
    /// A write that got no response counts as confirmed.
    ActsOnUnconfirmedWrites,
    /// A lease counts from the response to the write.
    CountsLeaseFromResponse,
    /// The era of the store is not looked at.
    IgnoresEra,
}

/// How many faults of each kind may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Faults {
    /// Responses of the store that are lost. The write may take effect at any later time.
    pub(super) lost: u8,
    pub(super) frozen: u8,
    /// Instances that lose their memory and start again.
    pub(super) crashed: u8,
    /// Instances that are told to stop.
    pub(super) stopped: u8,
    /// Times that the store is restored from a copy.
    pub(super) restored: u8,
    /// Calls that get no response, whether or not they arrive.
    pub(super) silent: u8,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub(super) instances: usize,
    /// The time at which the search ends.
    pub(super) horizon: u64,
    pub(super) faults: Faults,
    /// Whether instances hear each other. If not, all try to take over all the time.
    pub(super) gossip: bool,
    pub(super) planted: Planted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Operation {
    Read(Option<Reading>),
    Write(Write, Option<Outcome>),
    Call(Call),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    agent: Rc<Agent>,
    run: u64,
    is_frozen: bool,
    is_stopping: bool,
    /// The operation that the instance waits for, and when it was started.
    operation: Option<(Operation, u64)>,
}

/// A state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) now: u64,
    faults: Faults,
    store: Store,
    sites: Vec<Site>,
    /// Writes that may still take effect although nobody waits for them.
    late: Vec<Write>,
    /// Calls of instances that crashed, which may still arrive.
    orphans: Vec<(Call, usize)>,
    pub(super) receiver: Receiver,
}

fn timing(gossip: bool) -> Timing {
    let second = Duration::from_secs(1);
    let never = Duration::from_secs(1000);
    Timing {
        window: 2 * second,
        due_after: never,
        lease_time: Duration::from_secs(LEASE),
        margin: second,
        renew_after: second,
        settle_time: Duration::ZERO,
        collect_time: Duration::ZERO,
        stuck_after: never,
        abstention: Duration::ZERO,
        give_up_after: never,
        silence: if gossip { second } else { Duration::ZERO },
        stagger: Duration::ZERO,
        call_limits: (second, second),
        call_spacing: Duration::ZERO,
        backoff: (Duration::ZERO, Duration::ZERO),
        clock_difference: Duration::ZERO,
    }
}

fn at(now: u64) -> Instant {
    Instant::from_millis(now * 1000)
}

impl World {
    /// Returns the start: an object without a holder, and instances that know nothing.
    pub(super) fn new(setup: &Setup) -> Self {
        let object = Object {
            holder: String::new(),
            generation: Generation::default(),
            released: false,
            reported: None,
            pending: None,
            fresh_from: 0,
            write: 0,
        };
        let stored = Stored {
            revision: 1,
            object,
        };
        let timing = timing(setup.gossip);
        let site = |i: usize| Site {
            agent: Rc::new(Agent::new(NAMES[i], i as u64 + 1, timing)),
            run: i as u64 + 1,
            is_frozen: false,
            is_stopping: false,
            operation: None,
        };
        let mut world = Self {
            now: 0,
            faults: setup.faults,
            store: Store {
                era: 0,
                revision: 1,
                stored: Some(stored),
                copies: Vec::new(),
            },
            sites: (0..setup.instances).map(site).collect(),
            late: Vec::new(),
            orphans: Vec::new(),
            receiver: Receiver::default(),
        };
        world.settle(0..setup.instances);
        world
    }

    fn context(&self, site: usize) -> Context {
        Context {
            now: at(self.now),
            unix_time: Some(Duration::from_secs(self.now)),
            is_candidate: true,
            is_stopping: self.sites[site].is_stopping,
            rank: 0,
            random: 0,
        }
    }

    /// Lets some instances take steps until each of them waits. The others wait already.
    fn settle(&mut self, sites: Range<usize>) {
        const MAX_STEPS: usize = 10;
        for i in sites {
            let context = self.context(i);
            let now = self.now;
            let site = &mut self.sites[i];
            if site.is_frozen || site.operation.is_some() {
                continue;
            }
            let agent = Rc::make_mut(&mut site.agent);
            let mut steps = 0;
            while site.operation.is_none() {
                steps += 1;
                assert!(steps < MAX_STEPS, "the instance never waits");
                let operation = match agent.step(&context) {
                    Step::Wait(_) => break,
                    Step::Collect(window) => {
                        // Each instance, and each run of it, arrives at counts of its own.
                        let counts = BTreeMap::from([("t".to_owned(), 10 * site.run + now)]);
                        let collected = Some((counts, true));
                        agent.complete_collect(window, collected, &context);
                        continue;
                    }
                    Step::Read => Operation::Read(None),
                    Step::Write(write) => Operation::Write(write, None),
                    Step::Send(call) => Operation::Call(call),
                };
                site.operation = Some((operation, now));
            }
            agent.take_events();
        }
    }

    /// Drops what can have no effect any more.
    fn drop_void(&mut self) {
        let (store, faults) = (&self.store, &self.faults);
        self.late
            .retain(|write| faults.restored > 0 || store.admits(write.condition));
        let now = self.now;
        self.orphans.retain(|(call, _)| at(now) <= call.until);
    }

    fn complete(&mut self, i: usize, planted: Planted, operation: Operation, started: u64) {
        let context = self.context(i);
        let agent = Rc::make_mut(&mut self.sites[i].agent);
        match operation {
            Operation::Read(reading) => {
                let seen = reading.map(|reading| match planted {
                    Planted::IgnoresEra => Reading { era: 0, ..reading },
                    _ => reading,
                });
                agent.complete_read(seen, &context);
            }
            Operation::Write(write, outcome) => {
                let started = match planted {
                    Planted::CountsLeaseFromResponse => context.now,
                    _ => at(started),
                };
                let seen = outcome.map(|outcome| match (planted, outcome) {
                    (Planted::IgnoresEra, Outcome::Written { revision, .. }) => {
                        Outcome::Written { era: 0, revision }
                    }
                    (Planted::IgnoresEra, Outcome::Conflict { .. }) => Outcome::Conflict { era: 0 },
                    _ => outcome,
                });
                agent.complete_write(write, started, seen, &context);
            }
            Operation::Call(_) => {}
        }
    }

    /// Returns all states that may follow, each with what happened.
    pub(super) fn successors(&self, setup: &Setup) -> Result<Vec<(String, World)>, String> {
        let mut next = Vec::new();
        for i in 0..self.sites.len() {
            let first = next.len();
            self.operation_events(i, setup, &mut next)?;
            self.instance_events(i, &mut next);
            for (_, world) in &mut next[first..] {
                world.settle(i..i + 1);
            }
        }
        for (k, (call, holder)) in self.orphans.iter().enumerate() {
            let mut world = self.clone();
            world.orphans.remove(k);
            world.receiver.accept(call, *holder, self.now)?;
            next.push((format!("orphan of {} arrives", NAMES[*holder]), world));
        }
        for (k, write) in self.late.iter().enumerate() {
            if self.store.admits(write.condition) {
                let mut world = self.clone();
                world.store.write(write);
                world.late.remove(k);
                next.push((format!("late write {}", write.object.write), world));
            }
        }
        if self.faults.restored > 0 {
            let present = (self.store.revision, self.store.stored.clone());
            for (revision, stored) in self.store.copies.iter().chain([&present]) {
                let mut world = self.clone();
                world.faults.restored -= 1;
                world.store.era += 1;
                world.store.revision = *revision;
                world.store.stored.clone_from(stored);
                world.store.copies.clear();
                next.push((format!("store restored to {revision}"), world));
            }
        }
        if self.now < setup.horizon && self.may_advance() {
            let mut world = self.clone();
            world.advance(setup);
            world.settle(0..setup.instances);
            next.push((format!("time {}", world.now), world));
        }
        for (_, world) in &mut next {
            world.drop_void();
        }
        Ok(next)
    }

    /// Returns whether no operation has to end before time goes on.
    fn may_advance(&self) -> bool {
        self.sites.iter().all(|site| match &site.operation {
            None => true,
            Some((Operation::Call(call), _)) => site.is_frozen || at(self.now) < call.until,
            Some((_, started)) => site.is_frozen || self.now - started < OPERATION_TIME,
        })
    }

    fn advance(&mut self, setup: &Setup) {
        self.now += 1;
        if !setup.gossip {
            return;
        }
        let live = self.sites.iter().filter(|site| !site.is_frozen);
        let notices: Vec<_> = live.filter_map(|s| s.agent.notice(at(self.now))).collect();
        for site in self.sites.iter_mut().filter(|site| !site.is_frozen) {
            for notice in &notices {
                Rc::make_mut(&mut site.agent).hear(notice, at(self.now));
            }
        }
    }

    /// Adds what may happen to the operation of an instance.
    fn operation_events(
        &self,
        i: usize,
        setup: &Setup,
        next: &mut Vec<(String, World)>,
    ) -> Result<(), String> {
        let site = &self.sites[i];
        let Some((operation, started)) = &site.operation else {
            return Ok(());
        };
        let name = NAMES[i];
        let mut taken = self.clone();
        taken.sites[i].operation = None;
        match operation {
            Operation::Read(_) if !site.is_frozen => {
                let reading = Some(self.store.read());
                let mut world = taken.clone();
                world.complete(i, setup.planted, Operation::Read(reading), *started);
                next.push((format!("{name} reads"), world));
            }
            Operation::Write(write, None) => {
                let mut world = self.clone();
                let outcome = world.store.write(write);
                let operation = Operation::Write(write.clone(), Some(outcome));
                world.sites[i].operation = Some((operation, *started));
                next.push((
                    format!("write {} of {name}: {outcome:?}", write.object.write),
                    world,
                ));
            }
            Operation::Write(_, Some(_)) if !site.is_frozen => {
                let mut world = taken.clone();
                world.complete(i, setup.planted, operation.clone(), *started);
                next.push((format!("{name} gets the response"), world));
            }
            Operation::Call(call) => {
                let is_in_time = at(self.now) <= call.until;
                if is_in_time && !site.is_frozen {
                    let mut world = taken.clone();
                    world.receiver.accept(call, i, self.now)?;
                    world.end_call(i, call, Delivery::Accepted);
                    next.push((format!("{name} reports {}", call.report.window), world));
                }
                if is_in_time && self.faults.silent > 0 {
                    let mut world = taken.clone();
                    world.faults.silent -= 1;
                    world.receiver.accept(call, i, self.now)?;
                    world.end_call(i, call, Delivery::NoResponse);
                    next.push((format!("{name} reports, unconfirmed"), world));
                }
                if !site.is_frozen && (self.faults.silent > 0 || at(self.now) >= call.until) {
                    let mut world = taken.clone();
                    world.faults.silent = self.faults.silent.saturating_sub(1);
                    world.end_call(i, call, Delivery::NoResponse);
                    next.push((format!("call of {name} is lost"), world));
                }
            }
            _ => {}
        }
        if let (Operation::Write(write, outcome), true) =
            (operation, !site.is_frozen && self.faults.lost > 0)
        {
            let mut world = taken;
            world.faults.lost -= 1;
            let mut seen = None;
            if outcome.is_none() {
                world.late.push(write.clone());
            }
            if setup.planted == Planted::ActsOnUnconfirmedWrites {
                seen = Some(outcome.unwrap_or(Outcome::Written {
                    era: self.store.era,
                    revision: self.store.revision + 1,
                }));
            }
            world.complete(
                i,
                setup.planted,
                Operation::Write(write.clone(), seen),
                *started,
            );
            next.push((format!("response to {name} is lost"), world));
        }
        Ok(())
    }

    fn end_call(&mut self, i: usize, call: &Call, delivery: Delivery) {
        let context = self.context(i);
        Rc::make_mut(&mut self.sites[i].agent).complete_call(call, delivery, &context);
    }

    /// Adds what may happen to an instance.
    fn instance_events(&self, i: usize, next: &mut Vec<(String, World)>) {
        let (site, name) = (&self.sites[i], NAMES[i]);
        if site.is_frozen {
            let mut world = self.clone();
            world.sites[i].is_frozen = false;
            next.push((format!("{name} thaws"), world));
        } else if self.faults.frozen > 0 {
            let mut world = self.clone();
            world.faults.frozen -= 1;
            world.sites[i].is_frozen = true;
            next.push((format!("{name} freezes"), world));
        }
        if self.faults.crashed > 0 {
            let mut world = self.clone();
            world.faults.crashed -= 1;
            let operation = world.sites[i].operation.take();
            match operation {
                Some((Operation::Write(write, None), _)) => world.late.push(write),
                Some((Operation::Call(call), _)) => world.orphans.push((call, i)),
                _ => {}
            }
            let run = site.run + NAMES.len() as u64;
            world.sites[i] = Site {
                agent: Rc::new(Agent::new(name, run, site.agent.timing())),
                run,
                is_frozen: false,
                is_stopping: false,
                operation: None,
            };
            next.push((format!("{name} crashes"), world));
        }
        if self.faults.stopped > 0 && !site.is_stopping {
            let mut world = self.clone();
            world.faults.stopped -= 1;
            world.sites[i].is_stopping = true;
            next.push((format!("{name} stops"), world));
        }
    }
}
