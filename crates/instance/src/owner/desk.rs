//! One pool that this instance acts on.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use clock::Instant;
use contract::{id, Service};
use membership::duty::Duty;
use membership::takeover::Handover;
use policy::feedback::{self, Feedback};
use policy::pool::{self, Pool};
use policy::probe::Task;
use policy::ticket::{self, Ticket};
use policy::{credit, server};
use rollout::origin::Origin;
use rollout::sample::Sample;
use smol::channel::{Receiver, Sender};
use wire::grant::Release;
use wire::holding::{Credit, LiveCredits, Transfer};

use crate::moves;
use crate::telemetry::Credits;
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

/// What earlier actors left of a pool.
#[derive(Clone, Debug, Default)]
pub struct Inherited {
    /// Their live credits.
    pub credits: Vec<Credit>,
    /// What the last of them knew of the backend servers, if it handed the pool over.
    pub servers: Vec<server::State>,
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
    /// The answers counted since the last report to the lead of the service's move.
    pub evidence: rollout::evidence::Evidence,
    /// The credits that are out.
    outstanding: HashMap<credit::Id, Outstanding>,
    /// The tickets of the credits that are out.
    tickets: HashMap<ticket::Id, credit::Id>,
    /// The servers that were ejected at the last look.
    ejected: BTreeSet<id::Server>,
    /// Counts of the pool's credits.
    pub(crate) credits: Arc<Credits>,
}

/// A credit that is out.
#[derive(Debug)]
struct Outstanding {
    ticket: ticket::Id,
    server: id::Server,
    version: id::Version,
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
            evidence: rollout::evidence::Evidence::default(),
            outstanding: HashMap::new(),
            tickets: HashMap::new(),
            ejected: BTreeSet::new(),
            credits: Arc::default(),
        }
    }

    /// Takes in the live credits of earlier actors. From now on the pool may grant.
    pub fn admit(&mut self, standing: &Standing, inherited: &Inherited, now: Instant) {
        self.pool.restore(&inherited.servers, now);
        let live = inherited
            .credits
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
    pub fn hand_over(self, handover: Handover, now: Instant) -> Transfer {
        let held = self.held(now);
        let servers = self.pool.snapshot();
        Transfer {
            handover,
            held,
            servers,
        }
    }

    /// Returns the live credits.
    pub fn held(&self, now: Instant) -> LiveCredits {
        let live = self.pool.live_credits().into_iter();
        let credits = live.map(|(id, server, until)| Credit {
            id,
            server,
            remaining: until - now,
        });
        LiveCredits {
            pool: self.name.clone(),
            credits: credits.collect(),
        }
    }

    /// Applies what the bundle and the platform's list say of the pool.
    pub fn refresh(&mut self, view: &View, moves: &moves::Table, now: Instant) {
        let bundle = view.bundle();
        let servers = view.servers();
        let ours: Vec<_> = servers
            .iter()
            .filter(|s| s.service == self.name.service && s.centre == self.name.centre)
            .collect();
        let listed: Vec<server::Listing> = ours.iter().map(|s| listed(s)).collect();
        self.pool.set_servers(&listed, now);
        self.pool
            .set_in_service(bundle.in_service(self.name.centre.as_str()));
        let service = bundle.services.iter().find(|s| s.name == self.name.service);
        let shares = service.map_or_else(Vec::new, |service| shares(service, moves));
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
        self.pool.enqueue(ticket, now)?;
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
        if let Some(credit) = self.tickets.get(&id).copied() {
            self.give_back(
                &Release {
                    credit,
                    feedback: None,
                },
                now,
            );
        }
    }

    /// Takes a credit back.
    pub fn give_back(&mut self, entry: &Release, now: Instant) {
        let outstanding = self.outstanding.remove(&entry.credit);
        if let Some(outstanding) = &outstanding {
            self.tickets.remove(&outstanding.ticket);
            if let Some(evidence) = &entry.feedback {
                self.count(outstanding, evidence);
            }
        }
        let evidence = entry.feedback.clone();
        if self.pool.release(entry.credit, evidence, now) {
            self.credits.give_back();
        }
    }

    /// Returns a probe that is due, with its credit.
    pub(super) fn probe(&mut self, now: Instant) -> Option<Task> {
        let order = self.pool.probe(now);
        order.iter().for_each(|_| self.credits.grant());
        order
    }

    /// Returns the servers that were ejected, and those that get credits again, since the last look.
    pub(super) fn take_ejections(&mut self) -> (Vec<id::Server>, Vec<id::Server>) {
        let states = self.pool.snapshot().into_iter();
        let now: BTreeSet<_> = states.filter(|s| s.ejected).map(|s| s.name).collect();
        let before = std::mem::replace(&mut self.ejected, now);
        let ejected = self.ejected.difference(&before).cloned().collect();
        let restored = before.difference(&self.ejected).cloned().collect();
        (ejected, restored)
    }

    /// Counts an answer for the lead of the service's move.
    fn count(&mut self, outstanding: &Outstanding, evidence: &Feedback) {
        let Some(outcome) = outcome(evidence.outcome) else {
            return;
        };
        let origin = Origin {
            version: outstanding.version.clone(),
            route: evidence.route.clone(),
            centre: self.name.centre.clone(),
            server: outstanding.server.clone(),
        };
        let warm = !self.pool.is_cold(&outstanding.server);
        let latency = evidence.latency;
        self.evidence.observe(&Sample {
            origin,
            outcome,
            latency,
            warm,
            count: 1,
        });
    }

    /// Grants what can be granted now.
    pub fn pump(&mut self, now: Instant) {
        let live = self.pool.live_credit_count();
        self.pool.expire(now);
        self.credits.expire(live - self.pool.live_credit_count());
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
        self.credits.grant();
        let credit = grant.credit.id;
        let outstanding = Outstanding {
            ticket: grant.ticket,
            server: grant.credit.server.clone(),
            version: grant.credit.version.clone(),
        };
        self.tickets.insert(grant.ticket, credit);
        self.outstanding.insert(credit, outstanding);
        let sent = match self.waiters.remove(&grant.ticket) {
            Some(sender) => sender.try_send(Ok(grant)).is_ok(),
            None => false,
        };
        if !sent {
            self.give_back(
                &Release {
                    credit,
                    feedback: None,
                },
                now,
            );
        }
    }

    /// Forgets the credits that have ended by themselves, once they are the larger part.
    fn forget_ended(&mut self) {
        const SLACK: usize = 64;
        if self.outstanding.len() <= 2 * self.pool.live_credit_count() + SLACK {
            return;
        }
        let live: HashSet<credit::Id> = self
            .pool
            .live_credits()
            .into_iter()
            .map(|(id, _, _)| id)
            .collect();
        self.outstanding.retain(|id, _| live.contains(id));
        self.tickets.retain(|_, id| live.contains(id));
    }
}

/// Returns the shares of a service's versions, the stable one first.
fn shares(service: &Service, moves: &moves::Table) -> Vec<(id::Version, f64)> {
    match &service.shift {
        Some(shift) => {
            let share = moves.share(&service.name, shift);
            vec![(shift.from.clone(), 1.0 - share), (shift.to.clone(), share)]
        }
        None => service
            .stable_version()
            .map(|version| (version.clone(), 1.0))
            .into_iter()
            .collect(),
    }
}

/// Returns what an attempt says of a version, if anything.
fn outcome(outcome: feedback::Outcome) -> Option<rollout::sample::Outcome> {
    use feedback::Outcome;
    match outcome {
        Outcome::Answered => Some(rollout::sample::Outcome::Success),
        Outcome::Failed | Outcome::Crashed | Outcome::TimedOut => {
            Some(rollout::sample::Outcome::Failure)
        }
        Outcome::Shed | Outcome::Unreachable | Outcome::Abandoned => None,
    }
}

fn listed(server: &platform::Server) -> server::Listing {
    server::Listing {
        name: server.name.clone(),
        version: server.version.clone(),
        leaving: server.health == platform::Health::Leaving,
    }
}
