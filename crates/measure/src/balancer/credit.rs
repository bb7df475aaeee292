//! Credit balancer: drives the pools of the `policy` crate.
//!
//! An entry instance requests a credit from an owner before it dispatches a call, and returns the
//! credit with feedback after the response. Each owner has one pool.

mod config;
mod message;
mod owner;
mod wait;

use std::collections::BTreeSet;
use std::time::Duration;

use policy::credit;
use policy::feedback::{Feedback, Outcome, StartId};
use policy::ticket;

use super::Balancer;
use crate::call::Attempt;
use crate::scenario::Change;
use crate::site::{Site, CENTRES, ENTRIES};
use crate::world::World;

pub use config::{Config, Layout};
pub use message::{Ask, Granted, Message};

use owner::{Owner, NUMBER_BITS};
use wait::Wait;

/// How long a call waits for its first owner before it also requests credits from the others.
const SPILL_DELAY: Duration = Duration::from_millis(2);

/// The delay before a request that a pool refused is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a call waits for a credit.
const CREDIT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an entry instance holds a credit that no call uses.
const IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// A held credit that expires within this time is not used.
const EXPIRY_MARGIN: Duration = Duration::from_millis(20);

/// The service time of a probe at a warm server with a free slot.
const PROBE_WORK: Duration = Duration::from_millis(6);

/// The time between samples of the allowances.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// The state that an entry instance keeps for an owner.
#[derive(Clone, Debug, Default)]
struct View {
    /// A credit that no call uses yet.
    held: Option<Granted>,
    /// Whether a credit was requested ahead of a call.
    asked: bool,
    /// Whether the pool had spare capacity.
    spare: bool,
}

/// The credit balancer.
#[derive(Debug)]
pub struct Credits {
    config: Config,
    owners: Vec<Owner>,
    in_service: [bool; CENTRES],
    waits: Vec<Wait>,
    /// The calls of each entry instance that wait for a credit, the earliest first.
    waiting: Vec<BTreeSet<usize>>,
    /// The state that each entry instance keeps for each owner.
    views: Vec<Vec<View>>,
    tickets: u64,
}

/// Returns the owner that granted the credit with the number `tag`.
fn owner_of(tag: u64) -> usize {
    (tag >> NUMBER_BITS) as usize
}

impl Credits {
    /// Returns the balancer for the servers of `site`, which its pools know as cold if `cold` is
    /// set, and otherwise as warm.
    pub fn new(site: &Site, config: Config, cold: bool) -> Self {
        let of_centre = |centre| (0..site.servers).filter(move |s| s % CENTRES == centre);
        let owners = match config.layout {
            Layout::PerCentre => (0..CENTRES)
                .map(|centre| Owner::new(centre, centre, of_centre(centre).collect(), cold))
                .collect::<Vec<_>>(),
            Layout::Whole => vec![Owner::new(0, 0, (0..site.servers).collect(), cold)],
        };
        Self {
            config,
            views: vec![vec![View::default(); owners.len()]; ENTRIES],
            owners,
            in_service: [true; CENTRES],
            waits: Vec::new(),
            waiting: vec![BTreeSet::new(); ENTRIES],
            tickets: 0,
        }
    }

    /// Returns the owners whose pools are in service.
    fn usable(&self) -> impl Iterator<Item = usize> + '_ {
        let whole = self.config.layout == Layout::Whole;
        let owners = 0..self.owners.len();
        owners.filter(move |o| whole || self.in_service[self.owners[*o].centre])
    }

    /// Returns the owner that a call in `centre` requests a credit from first.
    fn nearest(&self, centre: usize) -> Option<usize> {
        let local = self.usable().find(|o| self.owners[*o].centre == centre);
        local.or_else(|| self.usable().next())
    }

    fn ask(&mut self, world: &mut World<Message>, call: usize, owner: usize) {
        let ask = self.next_ask(world, owner, Some(call));
        self.waits[call].requests.push((owner, ask.ticket));
        self.send_to_owner(world, ask.entry, Message::Ask(ask));
    }

    fn next_ask(&mut self, world: &World<Message>, owner: usize, call: Option<usize>) -> Ask {
        self.tickets += 1;
        let entry = call.map_or(0, |call| world.calls[call].entry);
        let arrival = call.map_or(world.now, |call| world.calls[call].at);
        Ask {
            owner,
            ticket: ticket::Id(self.tickets),
            entry,
            call,
            deadline: arrival + CREDIT_TIMEOUT,
        }
    }

    /// Sends a message from an entry instance to the owner that it is addressed to.
    fn send_to_owner(&self, world: &mut World<Message>, entry: usize, message: Message) {
        let from = world.site.centre_of_entry(entry);
        if let Some(owner) = message.owner() {
            world.send(from, self.owners[owner].centre, message);
        }
    }

    /// Sends the messages and probes of an owner that are due, and schedules its next wake-up.
    fn process_due(&mut self, world: &mut World<Message>, index: usize, extra: Option<Message>) {
        let owner = &mut self.owners[index];
        let messages = owner.process_due(world.now);
        for message in extra.into_iter().chain(messages) {
            if let Some(entry) = message.recipient() {
                let to = world.site.centre_of_entry(entry);
                world.send(owner.centre, to, message);
            }
        }
        while let Some((task, server)) = owner.probe(world.now) {
            world.tally.probes += u64::from(world.is_settled());
            let tag = task.credit.id.0;
            world.request(None, owner.centre, server, PROBE_WORK, tag);
        }
        if let Some(at) = owner.next_wake(world.now) {
            world.after(at - world.now, Message::Wake(index, at));
        }
    }

    fn spill(&mut self, world: &mut World<Message>, call: usize) {
        let wait = &self.waits[call];
        if wait.finished || wait.spilled {
            return;
        }
        self.waits[call].spilled = true;
        // Counts the refusal of the first owner, and the request to it that replaces the first.
        world.tally.messages += 2 * u64::from(world.is_settled());
        let mut owners: Vec<usize> = self.usable().collect();
        let first = call % owners.len().max(1);
        owners.rotate_left(first);
        owners.retain(|owner| !self.waits[call].has_request_to(*owner));
        for owner in owners {
            self.ask(world, call, owner);
        }
    }

    fn handle_grant(&mut self, world: &mut World<Message>, granted: Granted) {
        let Granted { ask, credit, .. } = &granted;
        let (entry, owner) = (ask.entry, ask.owner);
        self.views[entry][owner].spare = granted.spare;
        let Some(call) = ask.call else {
            self.hold(world, granted);
            return;
        };
        self.waits[call].remove_request(ask.ticket);
        let next = self.waiting[entry].first().copied();
        let call = match self.waits[call].finished {
            true => next.filter(|_| self.config.passes_on),
            false => Some(call),
        };
        match call {
            Some(call) => self.use_credit(world, call, &granted),
            None => self.send_to_owner(world, entry, Message::Return(*credit, None)),
        }
    }

    fn use_credit(&mut self, world: &mut World<Message>, call: usize, granted: &Granted) {
        world.dispatch(call, granted.server, granted.credit.0);
        let entry = world.calls[call].entry;
        self.finish(world, call);
        self.ask_ahead(world, entry, granted.ask.owner);
    }

    /// Ends the wait of a call and withdraws its other requests.
    fn finish(&mut self, world: &mut World<Message>, call: usize) {
        let entry = world.calls[call].entry;
        self.waits[call].finished = true;
        self.waiting[entry].remove(&call);
        for (owner, ticket) in std::mem::take(&mut self.waits[call].requests) {
            self.send_to_owner(world, entry, Message::Withdraw(owner, ticket));
        }
    }

    fn ask_ahead(&mut self, world: &mut World<Message>, entry: usize, owner: usize) {
        let view = &mut self.views[entry][owner];
        let wanted = view.spare && !view.asked && view.held.is_none();
        if !wanted || !self.config.ahead {
            return;
        }
        view.asked = true;
        let ask = self.next_ask(world, owner, None);
        self.send_to_owner(world, entry, Message::Ask(Ask { entry, ..ask }));
    }

    fn hold(&mut self, world: &mut World<Message>, granted: Granted) {
        let (entry, credit) = (granted.ask.entry, granted.credit);
        let view = &mut self.views[entry][granted.ask.owner];
        view.asked = false;
        view.held = Some(granted);
        world.after(IDLE_TIMEOUT, Message::Idle(entry, credit));
    }

    /// Returns a held credit that no call has used.
    fn return_unused(&mut self, world: &mut World<Message>, entry: usize, credit: credit::Id) {
        let view = &mut self.views[entry][owner_of(credit.0)];
        if view.held.take_if(|held| held.credit == credit).is_some() {
            self.send_to_owner(world, entry, Message::Return(credit, None));
        }
    }

    fn handle_refusal(&mut self, world: &mut World<Message>, ask: &Ask) {
        let Some(call) = ask.call else {
            let view = &mut self.views[ask.entry][ask.owner];
            view.asked = false;
            view.spare = false;
            return;
        };
        self.waits[call].remove_request(ask.ticket);
        world.after(RETRY_DELAY, Message::Retry(call, ask.owner));
        self.spill(world, call);
    }

    fn retry(&mut self, world: &mut World<Message>, call: usize, owner: usize) {
        let usable = self.usable().any(|o| o == owner);
        let wait = &self.waits[call];
        if usable && !wait.finished && !wait.has_request_to(owner) {
            self.ask(world, call, owner);
        }
    }

    fn time_out(&mut self, world: &mut World<Message>, call: usize) {
        if !self.waits[call].finished {
            world.refuse(call);
            self.finish(world, call);
        }
    }

    fn replace(&mut self, world: &mut World<Message>, server: usize) {
        for index in 0..self.owners.len() {
            self.owners[index].replace(server, world.now);
            self.process_due(world, index, None);
        }
    }

    fn sample(&mut self, world: &mut World<Message>) {
        let all_full = self.owners.iter().all(Owner::is_full);
        world.tally.full = match all_full {
            true => world.tally.full.or(Some(world.now)),
            false => None,
        };
        world.after(SAMPLE_PERIOD, Message::Sample);
    }
}

impl Balancer for Credits {
    type Message = Message;

    fn start(&mut self, world: &mut World<Message>) {
        self.waits = vec![Wait::default(); world.calls.len()];
        for owner in 0..self.owners.len() {
            self.process_due(world, owner, None);
        }
        self.sample(world);
    }

    fn arrive(&mut self, world: &mut World<Message>, call: usize) {
        let entry = world.calls[call].entry;
        let centre = world.site.centre_of_entry(entry);
        let Some(owner) = self.nearest(centre) else {
            return world.refuse(call);
        };
        let now = world.now;
        let held = self.views[entry][owner].held.take();
        if let Some(held) = held.filter(|held| now + EXPIRY_MARGIN < held.expires) {
            return self.use_credit(world, call, &held);
        }
        self.waiting[entry].insert(call);
        self.ask(world, call, owner);
        world.after(SPILL_DELAY, Message::Spill(call));
        world.after(CREDIT_TIMEOUT, Message::Deadline(call));
    }

    fn answer(&mut self, world: &mut World<Message>, attempt: &Attempt) {
        let feedback = Feedback {
            outcome: match attempt.expired {
                true => Outcome::TimedOut,
                false => Outcome::Answered,
            },
            latency: world.now - attempt.sent,
            start_id: Some(StartId(attempt.start)),
            route: "r".into(),
            fingerprint: None,
            draining: false,
        };
        let message = Message::Return(credit::Id(attempt.tag), Some(feedback));
        match attempt.call {
            Some(call) => self.send_to_owner(world, world.calls[call].entry, message),
            None => self.receive(world, message),
        }
    }

    fn receive(&mut self, world: &mut World<Message>, message: Message) {
        let now = world.now;
        match message {
            Message::Ask(ask) => {
                let owner = ask.owner;
                let refusal = self.owners[owner].ask(ask, now);
                self.process_due(world, owner, refusal);
            }
            Message::Withdraw(owner, ticket) => self.owners[owner].withdraw(ticket),
            Message::Return(credit, feedback) => {
                let owner = owner_of(credit.0);
                self.owners[owner].release(credit, feedback, now);
                self.process_due(world, owner, None);
            }
            Message::Wake(owner, _) => self.process_due(world, owner, None),
            Message::Granted(granted) => self.handle_grant(world, granted),
            Message::Refused(ask) => self.handle_refusal(world, &ask),
            Message::Recall(entry, credit) => {
                self.views[entry][owner_of(credit.0)].spare = false;
                self.return_unused(world, entry, credit);
            }
            Message::Spill(call) => self.spill(world, call),
            Message::Retry(call, owner) => self.retry(world, call, owner),
            Message::Deadline(call) => self.time_out(world, call),
            Message::Idle(entry, credit) => self.return_unused(world, entry, credit),
            Message::Sample => self.sample(world),
        }
    }

    fn change(&mut self, world: &mut World<Message>, change: Change) {
        let (centre, in_service) = match change {
            Change::Leave(centre) => (centre, false),
            Change::Return(centre) => (centre, true),
            Change::Replace(server) => return self.replace(world, server),
            Change::Slow(..) | Change::Restart(_) => return,
        };
        self.in_service[centre] = in_service;
        let now = world.now;
        let serves = |s: usize| in_service || s % CENTRES != centre;
        match self.config.layout {
            Layout::PerCentre => self.owners[centre].set_in_service(in_service),
            Layout::Whole => self.owners[0].list(serves, now),
        }
        for owner in 0..self.owners.len() {
            self.process_due(world, owner, None);
        }
    }
}
