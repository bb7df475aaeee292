//! One pool that this instance acts on.

use std::collections::{HashMap, HashSet};

use clock::Instant;
use membership::duty::Duty;
use membership::takeover::Handover;
use policy::pool::{self, Pool};
use policy::ticket::{self, Ticket};
use policy::{credit, server};
use smol::channel::{Receiver, Sender};
use wire::ask::Return;
use wire::held::{Credit, Handed, Held};

use crate::view::View;

/// What becomes of a waiting ticket.
pub(super) type Verdict = Result<credit::Grant, ticket::Refusal>;

/// By what right a pool is acted on.
#[derive(Clone, Debug)]
pub struct Standing {
    /// The duty that the pool belongs to.
    pub duty: Duty,
    /// Since when the duty is held without a break.
    pub since: Instant,
}

/// One pool that this instance acts on.
#[derive(Debug)]
pub struct Desk {
    /// The pool's name.
    pub name: wire::Pool,
    /// The decisions.
    pub pool: Pool,
    duty: Duty,
    /// Since when the duty was held as the pool was admitted.
    since: Option<Instant>,
    waiters: HashMap<ticket::Id, Sender<Verdict>>,
    /// The tickets that were granted and whose credits are out.
    granted: HashMap<ticket::Id, credit::Id>,
}

impl Desk {
    /// Returns a desk that may not grant yet.
    pub fn new(name: wire::Pool, duty: Duty, config: pool::Config, now: Instant) -> Self {
        Self {
            name,
            pool: Pool::new(config, now),
            duty,
            since: None,
            waiters: HashMap::new(),
            granted: HashMap::new(),
        }
    }

    /// Takes in the live credits of earlier actors. From now on the pool may grant.
    pub fn admit(&mut self, standing: &Standing, credits: &[Credit], now: Instant) {
        let live = credits
            .iter()
            .map(|c| (c.id, c.server.clone(), now + c.remaining));
        self.pool.adopt(&live.collect::<Vec<_>>(), now);
        self.duty = standing.duty.clone();
        self.since = Some(standing.since);
    }

    /// Returns whether the pool was admitted on `duty`, held since `since`.
    pub fn holds(&self, duty: &Duty, since: Instant) -> bool {
        self.duty == *duty && self.since == Some(since)
    }

    /// Closes the desk and returns its live credits with `handover`.
    pub fn hand_over(self, handover: Handover, now: Instant) -> Handed {
        let live = self.pool.live().into_iter();
        let credits = live.map(|(id, server, until)| Credit {
            id,
            server,
            remaining: until - now,
        });
        let held = Held {
            pool: self.name,
            credits: credits.collect(),
        };
        Handed { handover, held }
    }

    /// Applies what the bundle and the platform's list say of the pool.
    pub fn refresh(&mut self, view: &View, now: Instant) {
        let bundle = view.bundle();
        let servers = view.servers();
        let ours: Vec<_> = servers
            .iter()
            .filter(|s| s.service == self.name.service && s.centre == self.name.centre)
            .collect();
        let listed: Vec<server::Listed> = ours.iter().map(|s| listed(s)).collect();
        self.pool.set_servers(&listed, now);
        self.pool
            .set_in_service(bundle.in_service(self.name.centre.as_str()));
        let service = bundle.services.iter().find(|s| s.name == self.name.service);
        let stable = service.and_then(|service| service.stable_version());
        let shares: Vec<_> = stable
            .iter()
            .map(|version| ((*version).clone(), 1.0))
            .collect();
        self.pool.set_shares(&shares);
    }

    /// Queues a ticket.
    ///
    /// # Errors
    ///
    /// Why the pool refuses the call.
    pub fn ask(
        &mut self,
        ticket: Ticket,
        now: Instant,
    ) -> Result<Receiver<Verdict>, ticket::Refusal> {
        let id = ticket.id;
        self.pool.ask(ticket, now)?;
        let (sender, receiver) = smol::channel::bounded(1);
        self.waiters.insert(id, sender);
        Ok(receiver)
    }

    /// Takes a ticket back, for a waiter of this instance. A credit that was granted before is in
    /// the waiter's channel.
    pub fn withdraw(&mut self, id: ticket::Id) {
        self.waiters.remove(&id);
        self.pool.withdraw(id);
    }

    /// Takes a ticket back, whether it was granted or not: its instance will not use the credit.
    pub fn cancel(&mut self, id: ticket::Id, now: Instant) {
        self.withdraw(id);
        if let Some(credit) = self.granted.remove(&id) {
            self.pool.give_back(credit, None, now);
        }
    }

    /// Takes a credit back.
    pub fn give_back(&mut self, entry: &Return, now: Instant) {
        self.pool
            .give_back(entry.credit, entry.evidence.clone(), now);
    }

    /// Grants what can be granted now.
    pub fn pump(&mut self, now: Instant) {
        self.pool.expire(now);
        for grant in self.pool.grant(now) {
            self.deliver(grant, now);
        }
        self.forget_ended();
        for dropped in self.pool.take_dropped() {
            if let Some(sender) = self.waiters.remove(&dropped.id) {
                // A waiter that has gone needs no answer.
                let _gone = sender.try_send(Err(dropped.refusal));
            }
        }
    }

    fn deliver(&mut self, grant: credit::Grant, now: Instant) {
        let credit = grant.credit.id;
        self.granted.insert(grant.ticket, credit);
        let sent = match self.waiters.remove(&grant.ticket) {
            Some(sender) => sender.try_send(Ok(grant)).is_ok(),
            None => false,
        };
        if !sent {
            self.pool.give_back(credit, None, now);
        }
    }

    /// Forgets the tickets whose credits have ended, once they are the larger part.
    fn forget_ended(&mut self) {
        const SLACK: usize = 64;
        let live = self.pool.live();
        if self.granted.len() > 2 * live.len() + SLACK {
            let ids: HashSet<credit::Id> = live.into_iter().map(|(id, _, _)| id).collect();
            self.granted.retain(|_, credit| ids.contains(credit));
        }
    }
}

fn listed(server: &platform::Server) -> server::Listed {
    server::Listed {
        name: server.name.clone(),
        version: server.version.clone(),
        leaving: server.health == platform::Health::Leaving,
    }
}
