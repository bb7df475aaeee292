//! An owner: a pool and the demands and credits that it knows of.

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

/// The credits that one owner numbers, in bits.
pub(super) const NUMBER_BITS: u32 = 48;

/// The share of the calls for a new version.
const NEW_SHARE: f64 = 0.1;

/// An owner: a pool and the demands and credits that it knows of.
#[derive(Debug)]
pub(super) struct Owner {
    /// The data centre that it is in.
    pub(super) centre: usize,
    /// Its servers.
    servers: Vec<usize>,
    /// Those of the new version.
    new: Vec<usize>,
    pool: Pool,
    asks: BTreeMap<ticket::Id, Ask>,
    /// The credits asked for ahead, and their entries.
    ahead: BTreeMap<credit::Id, usize>,
    /// When it next wakes.
    wake: Option<Instant>,
}

/// Returns the name of a server.
pub(super) fn name(server: usize) -> id::Server {
    format!("s{server}").as_str().into()
}

fn number(name: &id::Server) -> usize {
    name.as_str()[1..].parse().unwrap_or(usize::MAX)
}

impl Owner {
    /// Returns an owner of warm or cold servers.
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

    /// Lists the servers that `which` accepts.
    pub(super) fn list<F>(&mut self, which: F, now: Instant)
    where
        F: Fn(usize) -> bool,
    {
        let servers = self.servers.iter().filter(|s| which(**s));
        let listed = servers.map(|s| Listing {
            name: name(*s),
            version: if self.new.contains(s) { "v2" } else { "v1" }.into(),
            leaving: false,
        });
        self.pool.set_servers(&listed.collect::<Vec<_>>(), now);
    }

    /// Lists the server `server` as one of the new version.
    pub(super) fn replace(&mut self, server: usize, now: Instant) {
        if !self.servers.contains(&server) {
            return;
        }
        self.new.push(server);
        self.list(|_| true, now);
        let shares = [("v1".into(), 1.0 - NEW_SHARE), ("v2".into(), NEW_SHARE)];
        self.pool.set_shares(&shares);
    }

    /// Takes the data centre into service or out of it.
    pub(super) fn set_in_service(&mut self, in_service: bool) {
        self.pool.set_in_service(in_service);
    }

    /// Returns whether all servers have all their slots.
    pub(super) fn is_full(&self) -> bool {
        let states = self.pool.snapshot();
        states.iter().all(|s| s.allowance == SLOTS)
    }

    /// Takes a demand. A demand ahead of a call is refused without room to spare.
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

    /// Takes a demand back, if it has no credit yet.
    pub(super) fn withdraw(&mut self, ticket: ticket::Id) {
        self.pool.withdraw(ticket);
        self.asks.remove(&ticket);
    }

    /// Takes a credit back.
    pub(super) fn give_back(&mut self, id: credit::Id, evidence: Option<Feedback>, now: Instant) {
        self.ahead.remove(&id);
        self.pool.release(id, evidence, now);
    }

    /// Returns what there is to tell the entries now.
    pub(super) fn pump(&mut self, now: Instant) -> Vec<Message> {
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

    /// Returns a probe that is due, and its server.
    pub(super) fn probe(&mut self, now: Instant) -> Option<(Task, usize)> {
        let order = self.pool.probe(now)?;
        let server = number(&order.credit.server);
        Some((order, server))
    }

    /// Returns when to wake next, if that has changed.
    pub(super) fn next_wake(&mut self, now: Instant) -> Option<Instant> {
        let next = self.pool.next_event()?;
        let known = self.wake.filter(|wake| *wake > now);
        if known.is_some_and(|wake| wake <= next) {
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
            server: number(&grant.credit.server),
            expires: grant.expires,
            spare: self.pool.has_spare_capacity(),
        }))
    }

    /// Calls back as many credits as calls wait, the oldest first.
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
    /// Returns the entry that an owner's message is for.
    pub(super) fn addressee(&self) -> Option<usize> {
        match self {
            Message::Granted(granted) => Some(granted.ask.entry),
            Message::Refused(ask) => Some(ask.entry),
            Message::Recall(entry, _) => Some(*entry),
            _ => None,
        }
    }

    /// Returns the owner that an entry's message is for.
    pub(super) fn owner(&self) -> Option<usize> {
        match self {
            Message::Ask(ask) => Some(ask.owner),
            Message::Withdraw(owner, _) => Some(*owner),
            Message::Return(credit, _) => Some(owner_of(credit.0)),
            _ => None,
        }
    }
}
