//! Grants the credits of one pool.

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

/// The decision on a waiting ticket: a grant or a refusal.
pub(super) type Decision = Result<credit::Grant, ticket::Refusal>;

/// The duty under which this instance acts on a pool.
#[derive(Clone, Debug)]
pub struct Tenure {
    /// The duty that the pool belongs to.
    pub duty: Duty,
    /// The start of the period for which the duty has been held without interruption.
    pub since: Instant,
}

/// The state of a pool as left by earlier actors.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Their live credits.
    pub credits: Vec<Credit>,
    /// The server states of the last actor, if it handed the pool over.
    pub servers: Vec<server::State>,
}

/// Grants the credits of one pool that this instance acts on.
#[derive(Debug)]
pub struct Allocator {
    /// The pool's name.
    pub name: wire::Pool,
    /// Decides which tickets get credits and for which servers.
    pub pool: Pool,
    duty: Duty,
    /// The start of the tenure on which the allocator was activated; `None` before.
    since: Option<Instant>,
    waiters: HashMap<ticket::Id, Sender<Decision>>,
    /// The responses counted since the last report to the leader of the service's rollout.
    pub evidence: rollout::evidence::Evidence,
    /// Granted credits that have not been released.
    outstanding: HashMap<credit::Id, Outstanding>,
    /// The outstanding credit of each ticket.
    credits_by_ticket: HashMap<ticket::Id, credit::Id>,
    /// The servers that were ejected at the last check.
    last_ejected: BTreeSet<id::Server>,
    /// Counts of the pool's credits.
    pub(crate) credits: Arc<Credits>,
}

/// A granted credit that has not been released.
#[derive(Debug)]
struct Outstanding {
    ticket: ticket::Id,
    server: id::Server,
    version: id::Version,
}

impl Allocator {
    /// Returns an allocator that may not grant until it is activated.
    pub fn new(name: wire::Pool, duty: Duty, config: pool::Config, now: Instant) -> Self {
        Self {
            name,
            pool: Pool::new(config, now),
            duty,
            since: None,
            waiters: HashMap::new(),
            evidence: rollout::evidence::Evidence::default(),
            outstanding: HashMap::new(),
            credits_by_ticket: HashMap::new(),
            last_ejected: BTreeSet::new(),
            credits: Arc::default(),
        }
    }

    /// Adopts the live credits of earlier actors and starts granting.
    pub fn activate(&mut self, tenure: &Tenure, snapshot: &Snapshot, now: Instant) {
        self.pool.restore(&snapshot.servers, now);
        let live = snapshot
            .credits
            .iter()
            .map(|c| (c.id, c.server.clone(), now + c.remaining));
        self.pool.adopt(&live.collect::<Vec<_>>(), now);
        self.duty = tenure.duty.clone();
        self.since = Some(tenure.since);
    }

    /// Returns whether the allocator was activated on `duty`, held since `since`.
    pub fn is_active(&self, duty: &Duty, since: Instant) -> bool {
        self.duty == *duty && self.since == Some(since)
    }

    /// Ends granting and returns the live credits with `handover`.
    pub fn hand_over(self, handover: Handover, now: Instant) -> Transfer {
        let held = self.live_credits(now);
        let servers = self.pool.snapshot();
        Transfer {
            handover,
            held,
            servers,
        }
    }

    /// Returns the live credits.
    pub fn live_credits(&self, now: Instant) -> LiveCredits {
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

    /// Applies the bundle, the platform's server list and the rollout shares to the pool.
    pub fn refresh(&mut self, view: &View, moves: &moves::Table, now: Instant) {
        let bundle = view.bundle();
        let servers = view.servers();
        let servers_here: Vec<_> = servers
            .iter()
            .filter(|s| s.service == self.name.service && s.centre == self.name.centre)
            .collect();
        let listings: Vec<server::Listing> = servers_here.iter().map(|s| listing(s)).collect();
        self.pool.set_servers(&listings, now);
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
    /// The reason for which the pool refuses the call.
    pub fn enqueue(
        &mut self,
        ticket: Ticket,
        now: Instant,
    ) -> Result<Receiver<Decision>, ticket::Refusal> {
        let id = ticket.id;
        self.pool.enqueue(ticket, now)?;
        let (sender, receiver) = smol::channel::bounded(1);
        self.waiters.insert(id, sender);
        Ok(receiver)
    }

    /// Withdraws the ticket of a local waiter. A credit granted before is in the waiter's channel.
    pub fn withdraw(&mut self, id: ticket::Id) {
        self.waiters.remove(&id);
        self.pool.withdraw(id);
    }

    /// Cancels a ticket, granted or not: the requesting instance will not use the credit.
    pub fn cancel(&mut self, id: ticket::Id, now: Instant) {
        self.withdraw(id);
        if let Some(credit) = self.credits_by_ticket.get(&id).copied() {
            self.release(
                &Release {
                    credit,
                    feedback: None,
                },
                now,
            );
        }
    }

    /// Releases a credit and records the feedback of its attempt.
    pub fn release(&mut self, entry: &Release, now: Instant) {
        let outstanding = self.outstanding.remove(&entry.credit);
        if let Some(outstanding) = &outstanding {
            self.credits_by_ticket.remove(&outstanding.ticket);
            if let Some(evidence) = &entry.feedback {
                self.count(outstanding, evidence);
            }
        }
        let evidence = entry.feedback.clone();
        if self.pool.release(entry.credit, evidence, now) {
            self.credits.record_returned();
        }
    }

    /// Returns the next probe that is due, with its credit.
    pub(super) fn probe(&mut self, now: Instant) -> Option<Task> {
        let task = self.pool.probe(now);
        task.iter().for_each(|_| self.credits.record_granted());
        task
    }

    /// Returns the servers that were ejected and those that were restored since the last call.
    pub(super) fn take_ejection_changes(&mut self) -> (Vec<id::Server>, Vec<id::Server>) {
        let states = self.pool.snapshot().into_iter();
        let now: BTreeSet<_> = states.filter(|s| s.ejected).map(|s| s.name).collect();
        let before = std::mem::replace(&mut self.last_ejected, now);
        let ejected = self.last_ejected.difference(&before).cloned().collect();
        let restored = before.difference(&self.last_ejected).cloned().collect();
        (ejected, restored)
    }

    /// Counts a response for the leader of the service's rollout.
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

    /// Expires credits and tickets, grants the credits that are free, and reports refusals.
    pub fn serve_queue(&mut self, now: Instant) {
        let live = self.pool.live_credit_count();
        self.pool.expire(now);
        self.credits
            .record_expired(live - self.pool.live_credit_count());
        for grant in self.pool.grant(now) {
            self.deliver(grant, now);
        }
        self.remove_ended_credits();
        for dropped in self.pool.take_dropped() {
            if let Some(sender) = self.waiters.remove(&dropped.id) {
                // The waiter may have been dropped.
                let _gone = sender.try_send(Err(dropped.refusal));
            }
        }
    }

    fn deliver(&mut self, grant: credit::Grant, now: Instant) {
        self.credits.record_granted();
        let credit = grant.credit.id;
        let outstanding = Outstanding {
            ticket: grant.ticket,
            server: grant.credit.server.clone(),
            version: grant.credit.version.clone(),
        };
        self.credits_by_ticket.insert(grant.ticket, credit);
        self.outstanding.insert(credit, outstanding);
        let sent = match self.waiters.remove(&grant.ticket) {
            Some(sender) => sender.try_send(Ok(grant)).is_ok(),
            None => false,
        };
        if !sent {
            self.release(
                &Release {
                    credit,
                    feedback: None,
                },
                now,
            );
        }
    }

    /// Removes the credits that have expired, once they are the majority of those recorded.
    fn remove_ended_credits(&mut self) {
        const SLACK_CREDITS: usize = 64;
        if self.outstanding.len() <= 2 * self.pool.live_credit_count() + SLACK_CREDITS {
            return;
        }
        let live: HashSet<credit::Id> = self
            .pool
            .live_credits()
            .into_iter()
            .map(|(id, _, _)| id)
            .collect();
        self.outstanding.retain(|id, _| live.contains(id));
        self.credits_by_ticket.retain(|_, id| live.contains(id));
    }
}

/// Returns the traffic share of each version of a service, the stable version first.
fn shares(service: &Service, moves: &moves::Table) -> Vec<(id::Version, f64)> {
    match &service.rollout {
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

/// Maps an attempt to an outcome for its version, or `None` if it says nothing about the version.
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

fn listing(server: &platform::Server) -> server::Listing {
    server::Listing {
        name: server.name.clone(),
        version: server.version.clone(),
        leaving: server.health == platform::Health::Leaving,
    }
}
