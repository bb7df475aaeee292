//! Owner of a pool, with the pending credit requests and the credits granted ahead of calls.

use std::collections::BTreeMap;

use clock::Instant;
use contract::id;
use policy::credit::{self, Grant};
use policy::feedback::Feedback;
use policy::pool::{Config, Pool};
use policy::probe::Task;
use policy::server::Listing;
use policy::ticket::{self, Refusal, Ticket};

use super::message::{Ask, Granted, Message};
use super::owner_of;
use crate::call::TIME_LIMIT;
use crate::site::SLOTS;

/// The width of an owner's credit numbers in bits; the bits above hold the index of the owner.
pub(super) const NUMBER_BITS: u32 = 48;

/// The share of the calls that goes to a new version.
const NEW_SHARE: f64 = 0.1;

/// An owner: a pool, the pending credit requests and the credits granted ahead of calls.
#[derive(Debug)]
pub(super) struct Owner {
    /// The data centre that it is in.
    pub(super) centre: usize,
    /// The servers of the pool.
    servers: Vec<usize>,
    /// The servers of the new version.
    new: Vec<usize>,
    pool: Pool,
    asks: BTreeMap<ticket::Id, Ask>,
    /// The credits granted ahead of calls, and their entry instances.
    ahead: BTreeMap<credit::Id, usize>,
    /// The time of the next scheduled wake-up.
    wake: Option<Instant>,
}

/// Returns the name of a server.
pub(super) fn server_name(server: usize) -> id::Server {
    format!("s{server}").as_str().into()
}

fn server_index(name: &id::Server) -> usize {
    name.as_str()[1..].parse().unwrap_or(usize::MAX)
}

impl Owner {
    /// Returns an owner whose pool starts with warm or cold servers.
    pub(super) fn new(index: usize, centre: usize, servers: Vec<usize>, cold: bool) -> Self {
        let first = credit::Id((index as u64) << NUMBER_BITS);
        let config = Config::new(SLOTS).first_credit(first);
        let mut owner = Self {
            centre,
            pool: Pool::new(config, Instant::ZERO),
            asks: BTreeMap::new(),
            ahead: BTreeMap::new(),
            wake: None,
            new: Vec::new(),
            servers,
        };
        owner.list(|_| true, Instant::ZERO);
        owner.pool.set_shares(&[("v1".into(), 1.0)]);
        if !cold {
            owner.warm();
        }
        owner
    }

    /// Sets the servers of the pool to those that `is_listed` accepts.
    pub(super) fn list<F>(&mut self, is_listed: F, now: Instant)
    where
        F: Fn(usize) -> bool,
    {
        let servers = self.servers.iter().filter(|s| is_listed(**s));
        let listed = servers.map(|s| Listing {
            name: server_name(*s),
            version: if self.new.contains(s) { "v2" } else { "v1" }.into(),
            leaving: false,
        });
        self.pool.set_servers(&listed.collect::<Vec<_>>(), now);
    }

    /// Marks `server` as one of the new version and sets the shares of the versions.
    pub(super) fn replace(&mut self, server: usize, now: Instant) {
        if !self.servers.contains(&server) {
            return;
        }
        self.new.push(server);
        self.list(|_| true, now);
        let shares = [("v1".into(), 1.0 - NEW_SHARE), ("v2".into(), NEW_SHARE)];
        self.pool.set_shares(&shares);
    }

    /// Puts the data centre into service or takes it out of service.
    pub(super) fn set_in_service(&mut self, in_service: bool) {
        self.pool.set_in_service(in_service);
    }

    /// Returns whether the allowance of every server is all its slots.
    pub(super) fn is_full(&self) -> bool {
        let states = self.pool.snapshot();
        states.iter().all(|s| s.allowance == SLOTS)
    }

    /// Queues a request, or returns its refusal. A request ahead of a call is refused if the pool
    /// has no spare capacity.
    pub(super) fn ask(&mut self, ask: Ask, now: Instant) -> Option<Message> {
        if ask.call.is_none() && !self.pool.has_spare_capacity() {
            return Some(Message::Refused(ask));
        }
        let ticket = Ticket {
            id: ask.ticket,
            instance: format!("i{}", ask.entry).as_str().into(),
            can_wait: ask.call.is_none(),
            deadline: ask.deadline,
            time_limit: TIME_LIMIT,
            avoid: Vec::new(),
            fingerprint: None,
        };
        if self.pool.enqueue(ticket, now).is_err() {
            return Some(Message::Refused(ask));
        }
        self.asks.insert(ask.ticket, ask);
        None
    }

    /// Withdraws a request that has no credit yet.
    pub(super) fn withdraw(&mut self, ticket: ticket::Id) {
        self.pool.withdraw(ticket);
        self.asks.remove(&ticket);
    }

    /// Releases a credit to the pool.
    pub(super) fn release(&mut self, id: credit::Id, feedback: Option<Feedback>, now: Instant) {
        self.ahead.remove(&id);
        self.pool.release(id, feedback, now);
    }

    /// Returns the grants, refusals and recalls that are due.
    pub(super) fn process_due(&mut self, now: Instant) -> Vec<Message> {
        let grants = self.pool.grant(now);
        let mut messages: Vec<Message> = grants
            .into_iter()
            .filter_map(|grant| self.granted(grant))
            .collect();
        for dropped in self.pool.take_dropped() {
            let ask = self.asks.remove(&dropped.id);
            let refused = ask.filter(|_| dropped.refusal != Refusal::Expired);
            messages.extend(refused.map(Message::Refused));
        }
        messages.extend(self.recalls());
        messages
    }

    /// Returns a due probe and its server.
    pub(super) fn probe(&mut self, now: Instant) -> Option<(Task, usize)> {
        let task = self.pool.probe(now)?;
        let server = server_index(&task.credit.server);
        Some((task, server))
    }

    /// Returns the next wake-up time if a timer must be scheduled for it.
    pub(super) fn next_wake(&mut self, now: Instant) -> Option<Instant> {
        let next = self.pool.next_event()?;
        let scheduled = self.wake.filter(|wake| *wake > now);
        if scheduled.is_some_and(|wake| wake <= next) {
            return None;
        }
        self.wake = Some(next);
        Some(next)
    }

    fn granted(&mut self, grant: Grant) -> Option<Message> {
        let ask = self.asks.remove(&grant.ticket)?;
        if ask.call.is_none() {
            self.ahead.insert(grant.credit.id, ask.entry);
        }
        Some(Message::Granted(Granted {
            ask,
            credit: grant.credit.id,
            server: server_index(&grant.credit.server),
            expires: grant.expires,
            spare: self.pool.has_spare_capacity(),
        }))
    }

    /// Recalls one credit granted ahead for each queued request, the oldest first.
    fn recalls(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        while messages.len() < self.pool.queued() {
            let Some((credit, entry)) = self.ahead.pop_first() else {
                break;
            };
            messages.push(Message::Recall(entry, credit));
        }
        messages
    }

    fn warm(&mut self) {
        let mut states = self.pool.snapshot();
        for state in &mut states {
            state.cold = false;
            state.allowance = SLOTS;
        }
        self.pool.restore(&states, Instant::ZERO);
    }
}

impl Message {
    /// Returns the entry instance that an owner's message is addressed to.
    pub(super) fn recipient(&self) -> Option<usize> {
        match self {
            Message::Granted(granted) => Some(granted.ask.entry),
            Message::Refused(ask) => Some(ask.entry),
            Message::Recall(entry, _) => Some(*entry),
            _ => None,
        }
    }

    /// Returns the owner that an entry instance's message is addressed to.
    pub(super) fn owner(&self) -> Option<usize> {
        match self {
            Message::Ask(ask) => Some(ask.owner),
            Message::Withdraw(owner, _) => Some(*owner),
            Message::Return(credit, _) => Some(owner_of(credit.0)),
            _ => None,
        }
    }
}
