//! Credits, by the pools of the policy.

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

/// How long a call waits in its own data centre before it asks the others too.
const SPILL_DELAY: Duration = Duration::from_millis(2);

/// The pause after a pool refused a demand.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How long a call waits for a credit.
const PATIENCE: Duration = Duration::from_secs(1);

/// How long an entry holds a credit that no call uses.
const IDLE: Duration = Duration::from_millis(100);

/// The time before the expiry of a credit in which it is not used.
const MARGIN: Duration = Duration::from_millis(20);

/// The time that a probe takes at a warm server with room.
const PROBE_WORK: Duration = Duration::from_millis(6);

/// The time from one look at the allowances to the next.
const SAMPLE: Duration = Duration::from_millis(10);

/// What an entry knows of an owner.
#[derive(Clone, Debug, Default)]
struct View {
    /// A credit that no call uses yet.
    held: Option<Granted>,
    /// Whether a credit was asked for ahead.
    asked: bool,
    /// Whether the pool had room to spare.
    spare: bool,
}

/// Credits, by the pools of the policy.
#[derive(Debug)]
pub struct Credits {
    config: Config,
    owners: Vec<Owner>,
    in_service: [bool; CENTRES],
    waits: Vec<Wait>,
    /// The calls of each entry that have no credit, the earliest first.
    waiting: Vec<BTreeSet<usize>>,
    /// What each entry knows of each owner.
    views: Vec<Vec<View>>,
    tickets: u64,
}

/// Returns the owner of the credit numbered `tag`.
fn owner_of(tag: u64) -> usize {
    (tag >> NUMBER_BITS) as usize
}

impl Credits {
    /// Returns credits for the servers of `site`, whose pools know the servers as warm or cold.
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

    /// Returns the owner that a call asks first.
    fn nearest(&self, centre: usize) -> Option<usize> {
        let own = self.usable().find(|o| self.owners[*o].centre == centre);
        own.or_else(|| self.usable().next())
    }

    fn ask(&mut self, world: &mut World<Message>, call: usize, owner: usize) {
        let ask = self.next_ask(world, owner, Some(call));
        self.waits[call].open.push((owner, ask.ticket));
        self.tell(world, ask.entry, Message::Ask(ask));
    }

    fn next_ask(&mut self, world: &World<Message>, owner: usize, call: Option<usize>) -> Ask {
        self.tickets += 1;
        let entry = call.map_or(0, |call| world.calls[call].entry);
        let came = call.map_or(world.now, |call| world.calls[call].at);
        Ask {
            owner,
            ticket: ticket::Id(self.tickets),
            entry,
            call,
            deadline: came + PATIENCE,
        }
    }

    /// Sends a message from an entry to the owner that it is for.
    fn tell(&self, world: &mut World<Message>, entry: usize, message: Message) {
        let from = world.site.centre_of_entry(entry);
        if let Some(owner) = message.owner() {
            world.send(from, self.owners[owner].centre, message);
        }
    }

    /// Lets an owner do what is due.
    fn pump(&mut self, world: &mut World<Message>, index: usize, more: Option<Message>) {
        let owner = &mut self.owners[index];
        let messages = owner.pump(world.now);
        for message in more.into_iter().chain(messages) {
            if let Some(entry) = message.addressee() {
                let to = world.site.centre_of_entry(entry);
                world.send(owner.centre, to, message);
            }
        }
        while let Some((order, server)) = owner.probe(world.now) {
            world.tally.probes += u64::from(world.is_settled());
            let tag = order.credit.id.0;
            world.request(None, owner.centre, server, PROBE_WORK, tag);
        }
        if let Some(at) = owner.next_wake(world.now) {
            world.after(at - world.now, Message::Wake(index, at));
        }
    }

    fn spill(&mut self, world: &mut World<Message>, call: usize) {
        let wait = &self.waits[call];
        if wait.over || wait.spilled {
            return;
        }
        self.waits[call].spilled = true;
        // The refusal of the first owner, and the demand to it that replaces the first.
        world.tally.messages += 2 * u64::from(world.is_settled());
        let mut owners: Vec<usize> = self.usable().collect();
        let first = call % owners.len().max(1);
        owners.rotate_left(first);
        owners.retain(|owner| !self.waits[call].asks(*owner));
        for owner in owners {
            self.ask(world, call, owner);
        }
    }

    fn accept(&mut self, world: &mut World<Message>, granted: Granted) {
        let Granted { ask, credit, .. } = &granted;
        let (entry, owner) = (ask.entry, ask.owner);
        self.views[entry][owner].spare = granted.spare;
        let Some(call) = ask.call else {
            self.hold(world, granted);
            return;
        };
        self.waits[call].close(ask.ticket);
        let next = self.waiting[entry].first().copied();
        let call = match self.waits[call].over {
            true => next.filter(|_| self.config.passes_on),
            false => Some(call),
        };
        match call {
            Some(call) => self.use_credit(world, call, &granted),
            None => self.tell(world, entry, Message::Return(*credit, None)),
        }
    }

    fn use_credit(&mut self, world: &mut World<Message>, call: usize, granted: &Granted) {
        world.dispatch(call, granted.server, granted.credit.0);
        let entry = world.calls[call].entry;
        self.finish(world, call);
        self.ask_ahead(world, entry, granted.ask.owner);
    }

    /// Ends the wait of a call.
    fn finish(&mut self, world: &mut World<Message>, call: usize) {
        let entry = world.calls[call].entry;
        self.waits[call].over = true;
        self.waiting[entry].remove(&call);
        for (owner, ticket) in std::mem::take(&mut self.waits[call].open) {
            self.tell(world, entry, Message::Withdraw(owner, ticket));
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
        self.tell(world, entry, Message::Ask(Ask { entry, ..ask }));
    }

    fn hold(&mut self, world: &mut World<Message>, granted: Granted) {
        let (entry, credit) = (granted.ask.entry, granted.credit);
        let view = &mut self.views[entry][granted.ask.owner];
        view.asked = false;
        view.held = Some(granted);
        world.after(IDLE, Message::Idle(entry, credit));
    }

    /// Gives a held credit back, if no call has used it.
    fn let_go(&mut self, world: &mut World<Message>, entry: usize, credit: credit::Id) {
        let view = &mut self.views[entry][owner_of(credit.0)];
        if view.held.take_if(|held| held.credit == credit).is_some() {
            self.tell(world, entry, Message::Return(credit, None));
        }
    }

    fn refused(&mut self, world: &mut World<Message>, ask: &Ask) {
        let Some(call) = ask.call else {
            let view = &mut self.views[ask.entry][ask.owner];
            view.asked = false;
            view.spare = false;
            return;
        };
        self.waits[call].close(ask.ticket);
        world.after(RETRY_PAUSE, Message::Retry(call, ask.owner));
        self.spill(world, call);
    }

    fn retry(&mut self, world: &mut World<Message>, call: usize, owner: usize) {
        let usable = self.usable().any(|o| o == owner);
        let wait = &self.waits[call];
        if usable && !wait.over && !wait.asks(owner) {
            self.ask(world, call, owner);
        }
    }

    fn end(&mut self, world: &mut World<Message>, call: usize) {
        if !self.waits[call].over {
            world.refuse(call);
            self.finish(world, call);
        }
    }

    fn replace(&mut self, world: &mut World<Message>, server: usize) {
        for index in 0..self.owners.len() {
            self.owners[index].replace(server, world.now);
            self.pump(world, index, None);
        }
    }

    fn sample(&mut self, world: &mut World<Message>) {
        let full = self.owners.iter().all(Owner::is_full);
        world.tally.full = match full {
            true => world.tally.full.or(Some(world.now)),
            false => None,
        };
        world.after(SAMPLE, Message::Sample);
    }
}

impl Balancer for Credits {
    type Message = Message;

    fn start(&mut self, world: &mut World<Message>) {
        self.waits = vec![Wait::default(); world.calls.len()];
        for owner in 0..self.owners.len() {
            self.pump(world, owner, None);
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
        if let Some(held) = held.filter(|held| now + MARGIN < held.expires) {
            return self.use_credit(world, call, &held);
        }
        self.waiting[entry].insert(call);
        self.ask(world, call, owner);
        world.after(SPILL_DELAY, Message::Spill(call));
        world.after(PATIENCE, Message::Deadline(call));
    }

    fn answer(&mut self, world: &mut World<Message>, attempt: &Attempt) {
        let evidence = Feedback {
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
        let message = Message::Return(credit::Id(attempt.tag), Some(evidence));
        match attempt.call {
            Some(call) => self.tell(world, world.calls[call].entry, message),
            None => self.receive(world, message),
        }
    }

    fn receive(&mut self, world: &mut World<Message>, message: Message) {
        let now = world.now;
        match message {
            Message::Ask(ask) => {
                let owner = ask.owner;
                let refusal = self.owners[owner].ask(ask, now);
                self.pump(world, owner, refusal);
            }
            Message::Withdraw(owner, ticket) => self.owners[owner].withdraw(ticket),
            Message::Return(credit, evidence) => {
                let owner = owner_of(credit.0);
                self.owners[owner].give_back(credit, evidence, now);
                self.pump(world, owner, None);
            }
            Message::Wake(owner, _) => self.pump(world, owner, None),
            Message::Granted(granted) => self.accept(world, granted),
            Message::Refused(ask) => self.refused(world, &ask),
            Message::Recall(entry, credit) => {
                self.views[entry][owner_of(credit.0)].spare = false;
                self.let_go(world, entry, credit);
            }
            Message::Spill(call) => self.spill(world, call),
            Message::Retry(call, owner) => self.retry(world, call, owner),
            Message::Deadline(call) => self.end(world, call),
            Message::Idle(entry, credit) => self.let_go(world, entry, credit),
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
            self.pump(world, owner, None);
        }
    }
}
