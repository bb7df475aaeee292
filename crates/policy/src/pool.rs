//! The owner's view of one pool: the backend servers of one service in one data centre.
//!
//! The owner is the instance that grants the pool's credits. It queues tickets, grants credits,
//! and applies the feedback of each attempt to the state of the server.
//!
//! Invariants:
//! - when a credit is granted, the live credits of its server do not exceed the server's allowance;
//! - a cold server has at most one live credit that was granted after it became cold;
//! - no credits or probes go to servers that are leaving, draining, ejected or not listed, to
//!   versions without a share, or to any server while the data centre is out of service;
//! - tickets that cannot wait precede those that can, and earlier deadlines precede later ones;
//! - each ticket ends in exactly one way: granted, withdrawn or dropped;
//! - the state is bounded by the queue limit, the list of servers and the live credits.

mod config;
mod credits;
mod entry;
mod fault;
mod fleet;
mod group;
mod isolation;
mod placement;
mod queue;
mod rank;
mod routes;

use clock::Instant;
use contract::id;

use crate::credit::{self, Credit, Grant};
use crate::feedback::{Feedback, Outcome};
use crate::probe::{Bucket, Task};
use crate::quarantine::{Fingerprint, Table};
use crate::server::observation::Observation;
use crate::server::{Listing, State};
use crate::ticket::{self, Dropped, Refusal, Ticket};

pub use config::Config;
pub use fault::Fault;

use credits::Credits;
use entry::Entry;
use fleet::{Fleet, Key};
use isolation::Detector;
use queue::Queue;
use routes::Routes;

/// Maximum number of servers in a ticket's `avoid` list; the rest are ignored.
const MAX_AVOIDED: usize = 8;

/// Maximum number of tickets that one call of [`Pool::grant`] skips because their own constraints
/// prevent a grant.
const MAX_SKIPPED: usize = 256;

/// Hedges are welcome while at least `1 / SPARE_DIVISOR` of the capacity is free.
const SPARE_DIVISOR: u64 = 4;

/// The owner's view of the backend servers of one service in one data centre.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    fleet: Fleet,
    queue: Queue,
    credits: Credits,
    routes: Routes,
    isolation: Detector,
    quarantine: Table,
    probes: Bucket,
    dropped: Vec<Dropped>,
    next_credit: credit::Id,
    in_service: bool,
    held_until: Instant,
    now: Instant,
}

impl Pool {
    /// Creates a pool that is in service and has no servers.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            fleet: Fleet::default(),
            queue: Queue::default(),
            credits: Credits::default(),
            routes: Routes::default(),
            isolation: Detector::default(),
            quarantine: Table::new(),
            probes: Bucket::new(config.probes_per_second, now),
            dropped: Vec::new(),
            next_credit: config.first_credit,
            in_service: true,
            held_until: now,
            now,
            config,
        }
    }

    /// Replaces the list of servers.
    ///
    /// Servers that are leaving or not in the list get no further credits. Servers that were not
    /// listed before, or were leaving, start cold.
    pub fn set_servers(&mut self, listed: &[Listing], now: Instant) {
        self.advance(now);
        self.fleet.set_servers(listed, &self.config, now);
    }

    /// Sets each version's share of the grants. Versions not named get none.
    ///
    /// While every version has room, the number of grants to each stays within one of its share.
    /// Grants that a version has no room for go to the first version named and to those with the
    /// largest share; no other version exceeds its share. Name the stable version first.
    pub fn set_shares(&mut self, shares: &[(id::Version, f64)]) {
        self.fleet.set_shares(shares);
    }

    /// Takes the data centre into or out of service.
    ///
    /// While it is out of service, queued tickets are dropped and nothing is granted. When it
    /// returns to service, all servers start cold.
    pub fn set_in_service(&mut self, in_service: bool) {
        if in_service && !self.in_service {
            self.fleet.restart_all(self.now);
        }
        self.in_service = in_service;
        if !in_service {
            self.refuse_queue(Refusal::OutOfService);
        }
    }

    /// Queues a ticket. Queueing the same ticket again has no effect.
    ///
    /// If the queue is full, a ticket that cannot wait replaces one that can.
    ///
    /// # Errors
    ///
    /// Returns why the ticket was refused; it will not be granted.
    pub fn enqueue(&mut self, mut ticket: Ticket, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        if self.queue.contains(ticket.id) {
            return Ok(());
        }
        self.check_admission(&ticket, now)?;
        self.make_room(&ticket)?;
        ticket.avoid.sort_unstable();
        ticket.avoid.dedup();
        ticket.avoid.truncate(MAX_AVOIDED);
        self.queue.push(ticket);
        Ok(())
    }

    /// Withdraws a ticket and returns whether it was queued. A withdrawn ticket is never granted.
    pub fn withdraw(&mut self, id: ticket::Id) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Grants as many credits as the servers have room for.
    ///
    /// If no server is usable, all queued tickets are dropped so that the calls can go to another
    /// data centre.
    pub fn grant(&mut self, now: Instant) -> Vec<Grant> {
        self.advance(now);
        if !self.fleet.has_usable_server() {
            self.refuse_queue(Refusal::NoServers);
        }
        let mut grants = Vec::new();
        let mut position = None;
        let mut skipped = 0;
        while self.may_grant(now) && skipped < MAX_SKIPPED && self.fleet.can_grant() {
            let Some((next, ticket)) = self.queue.after(position) else {
                break;
            };
            position = Some(next);
            let id = ticket.id;
            if self.is_blocked(ticket.fingerprint, now) {
                self.drop_ticket(id, Refusal::Quarantined);
            } else if let Some(key) = self.choose_server(ticket, now) {
                grants.extend(self.grant_ticket(id, key, now));
            } else {
                skipped += 1;
            }
        }
        grants
    }

    /// Returns the tickets that were dropped since the last call. Until they are taken, they count
    /// towards the queue limit.
    pub fn take_dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }

    /// Ends the credit `id` and applies the feedback of its attempt, or `None` for an unused
    /// credit. Returns whether the credit was live; releasing it again has no effect.
    pub fn release(&mut self, id: credit::Id, feedback: Option<Feedback>, now: Instant) -> bool {
        self.advance(now);
        let Some(entry) = self.credits.remove(id) else {
            return false;
        };
        if let Some(feedback) = feedback {
            self.apply_feedback(&entry, &feedback, now);
        }
        self.fleet.release(entry.key);
        true
    }

    /// Ends expired credits, drops expired tickets, and updates the servers to `now`.
    pub fn expire(&mut self, now: Instant) {
        self.advance(now);
    }

    /// Counts credits that a previous owner granted.
    ///
    /// Each ends at the given instant unless it is released earlier. By that instant, the credit
    /// must have expired and the route's time limit must have passed.
    pub fn adopt(&mut self, held: &[(credit::Id, id::Server, Instant)], now: Instant) {
        self.advance(now);
        for (id, server, ends_at) in held {
            if *ends_at <= now || self.credits.contains(*id) {
                continue;
            }
            let key = self.fleet.get_or_insert(server, &self.config, now);
            self.fleet.record_adopted(key);
            self.credits.insert(*id, self.entry(key, *ends_at));
        }
    }

    /// Grants nothing before `instant`, because credits of a previous owner may be live until then.
    pub fn hold_until(&mut self, instant: Instant) {
        self.held_until = self.held_until.max(instant);
    }

    /// Returns a probe to send, if a server needs one and the rate of probes allows it.
    pub fn probe(&mut self, now: Instant) -> Option<Task> {
        self.advance(now);
        let (due, key) = self.fleet.next_probe()?;
        if due > now || !self.may_grant(now) || !self.probes.take(now) {
            return None;
        }
        self.fleet.record_probe(key, now);
        let expires = now + self.config.credit_ttl;
        let ends_at = expires + self.config.probe_time_limit;
        let credit = self.issue(self.entry(key, ends_at).for_probe());
        Some(Task { credit, expires })
    }

    /// Returns when the pool next needs to act without further input, such as at a deadline, the
    /// end of a credit or ejection, or a due probe.
    pub fn next_event(&self) -> Option<Instant> {
        let held = !self.queue.is_empty() && self.held_until > self.now;
        let hold = held.then_some(self.held_until);
        let times = [
            hold,
            self.queue.next_deadline(),
            self.credits.next_end(),
            self.fleet.next_change(),
            self.next_probe(),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns whether the servers have enough spare capacity for hedged requests.
    pub fn has_spare_capacity(&self) -> bool {
        let (room, capacity) = self.fleet.room();
        self.queue.is_empty() && room > 0 && room * SPARE_DIVISOR >= capacity
    }

    /// Returns whether calls are waiting or the next one would have to.
    ///
    /// If so, instances should return each credit as soon as its response arrives.
    pub fn is_contended(&self) -> bool {
        !self.queue.is_empty() || self.fleet.room().0 == 0
    }

    /// Returns the live credits with their servers and the instants at which they end unless they
    /// are released earlier.
    pub fn live_credits(&self) -> Vec<(credit::Id, id::Server, Instant)> {
        let entries = self.credits.iter();
        entries
            .map(|(id, entry)| (id, self.fleet.record(entry.key).name.clone(), entry.ends_at))
            .collect()
    }

    /// Returns the number of live credits.
    pub fn live_credit_count(&self) -> usize {
        self.credits.len()
    }

    /// Returns whether `server` is unknown or may be in a cold start.
    pub fn is_cold(&self, server: &id::Server) -> bool {
        self.fleet
            .find(server)
            .is_none_or(|key| self.fleet.record(key).is_cold())
    }

    /// Returns the number of queued tickets.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the requests suspected of crashing servers, to export them to other instances.
    pub fn quarantine(&self) -> &Table {
        &self.quarantine
    }

    /// Returns the requests suspected of crashing servers, to merge suspicions of other instances.
    pub fn quarantine_mut(&mut self) -> &mut Table {
        &mut self.quarantine
    }

    /// Restores the server states that the previous owner reported when it handed over the pool.
    ///
    /// A state applies only to a usable server of the same version that has not yet reported a
    /// start id to this owner.
    pub fn restore(&mut self, states: &[State], now: Instant) {
        self.advance(now);
        self.fleet.restore(states, &self.config, now);
    }

    /// Returns the state of each server, sorted by name.
    pub fn snapshot(&self) -> Vec<State> {
        self.fleet.states()
    }

    /// Applies everything that is due at `now`.
    fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        while let Some(entry) = self.credits.pop_ended(now) {
            self.fleet.release(entry.key);
        }
        while let Some(ticket) = self.queue.pop_expired(now) {
            self.dropped.push(dropped(ticket, Refusal::Expired));
        }
        self.fleet.advance(now);
    }

    fn check_admission(&self, ticket: &Ticket, now: Instant) -> Result<(), Refusal> {
        if !self.in_service {
            return Err(Refusal::OutOfService);
        }
        if self.is_blocked(ticket.fingerprint, now) {
            return Err(Refusal::Quarantined);
        }
        if ticket.deadline <= now {
            return Err(Refusal::Expired);
        }
        if !self.fleet.has_usable_server() {
            return Err(Refusal::NoServers);
        }
        Ok(())
    }

    fn make_room(&mut self, ticket: &Ticket) -> Result<(), Refusal> {
        if self.queue.len() + self.dropped.len() < self.config.queue_limit {
            return Ok(());
        }
        if ticket.can_wait || self.dropped.len() >= self.config.queue_limit {
            return Err(Refusal::QueueFull);
        }
        let evicted = self.queue.pop_least_urgent().ok_or(Refusal::QueueFull)?;
        self.dropped.push(dropped(evicted, Refusal::QueueFull));
        Ok(())
    }

    fn may_grant(&self, now: Instant) -> bool {
        self.in_service && now >= self.held_until
    }

    fn is_blocked(&self, fingerprint: Option<Fingerprint>, now: Instant) -> bool {
        fingerprint.is_some_and(|f| self.quarantine.is_blocked(f, now))
    }

    /// Chooses the server for a ticket.
    ///
    /// A request that is suspected of a crash runs at most once at a time, so that copies of it
    /// cannot crash many servers before the second crash is known.
    fn choose_server(&self, ticket: &Ticket, now: Instant) -> Option<Key> {
        let suspect = ticket
            .fingerprint
            .filter(|f| self.quarantine.is_suspected(*f, now));
        if suspect.is_some_and(|f| self.credits.is_running(f)) {
            return None;
        }
        self.fleet.choose(&ticket.avoid)
    }

    fn grant_ticket(&mut self, id: ticket::Id, key: Key, now: Instant) -> Option<Grant> {
        let ticket = self.queue.remove(id)?;
        self.fleet.record_grant(key);
        let expires = now + self.config.credit_ttl;
        let ends_at = expires + ticket.time_limit;
        let credit = self.issue(self.entry(key, ends_at).for_request(&ticket));
        Some(Grant {
            ticket: id,
            instance: ticket.instance,
            credit,
            expires,
        })
    }

    /// Issues a credit that the fleet has already counted.
    fn issue(&mut self, entry: Entry) -> Credit {
        let credit = Credit {
            id: self.next_id(),
            server: self.fleet.record(entry.key).name.clone(),
            version: self.fleet.version(entry.key).clone(),
        };
        self.credits.insert(credit.id, entry);
        credit
    }

    /// Returns the entry of a credit that the fleet has already counted.
    fn entry(&self, key: Key, ends_at: Instant) -> Entry {
        let record = self.fleet.record(key);
        Entry::new(key, record.generation, record.live, ends_at)
    }

    /// Returns an id that no live credit uses; adopted credits may have any id.
    fn next_id(&mut self) -> credit::Id {
        while self.credits.contains(self.next_credit) {
            self.next_credit.0 = self.next_credit.0.wrapping_add(1);
        }
        let id = self.next_credit;
        self.next_credit.0 = id.0.wrapping_add(1);
        id
    }

    fn apply_feedback(&mut self, entry: &Entry, feedback: &Feedback, now: Instant) {
        if !self.is_about_server(entry, feedback, now) {
            return;
        }
        let request_blamed = self.update_quarantine(entry, feedback, now);
        let ratio = self.routes.ratio(&feedback.route, feedback.latency);
        if !entry.probe {
            let cold = self.fleet.record(entry.key).is_cold();
            self.routes.record(feedback, cold);
        }
        let observation = Observation {
            feedback,
            generation: entry.generation,
            load: entry.load,
            probe: entry.probe,
            ratio: ratio.unwrap_or(1.0),
            has_baseline: ratio.is_some(),
            request_blamed,
            route_failing: self.routes.is_failing(&feedback.route),
            may_eject: self.fleet.can_eject(entry.key),
        };
        self.fleet
            .apply_feedback(entry.key, &observation, &self.config, now);
    }

    /// Returns whether feedback reflects the server rather than the instance that reported it.
    fn is_about_server(&mut self, entry: &Entry, feedback: &Feedback, now: Instant) -> bool {
        let Some(instance) = &entry.instance else {
            return true;
        };
        match feedback.outcome {
            Outcome::Answered | Outcome::Failed | Outcome::Shed => {
                self.isolation.record_response(instance, now);
                true
            }
            Outcome::Unreachable => {
                let server = &self.fleet.record(entry.key).name;
                self.isolation.record_unreachable(instance, server, now)
            }
            // Crashes always count: an instance that sends little besides a request that crashes
            // servers would otherwise look isolated.
            Outcome::Crashed | Outcome::TimedOut | Outcome::Abandoned => true,
        }
    }

    /// Updates the quarantine with the outcome of an attempt. Returns whether a crash is blamed on
    /// the request, because the request crashed a server before.
    fn update_quarantine(&mut self, entry: &Entry, feedback: &Feedback, now: Instant) -> bool {
        let Some(fingerprint) = feedback.fingerprint.or(entry.fingerprint) else {
            return false;
        };
        match feedback.outcome {
            Outcome::Answered => {
                self.quarantine.record_response(fingerprint);
                false
            }
            Outcome::Crashed => {
                let server = &self.fleet.record(entry.key).name;
                self.quarantine.record_crash(fingerprint, server, now);
                self.quarantine.is_blocked(fingerprint, now)
            }
            _ => false,
        }
    }

    fn next_probe(&self) -> Option<Instant> {
        if !self.in_service {
            return None;
        }
        let (due, _) = self.fleet.next_probe()?;
        let ready_at = self.probes.ready_at()?;
        Some(due.max(ready_at).max(self.held_until))
    }

    fn drop_ticket(&mut self, id: ticket::Id, refusal: Refusal) {
        let ticket = self.queue.remove(id);
        self.dropped.extend(ticket.map(|t| dropped(t, refusal)));
    }

    fn refuse_queue(&mut self, refusal: Refusal) {
        while let Some(ticket) = self.queue.pop() {
            self.dropped.push(dropped(ticket, refusal));
        }
    }
}

fn dropped(ticket: Ticket, refusal: Refusal) -> Dropped {
    Dropped {
        id: ticket.id,
        instance: ticket.instance,
        refusal,
    }
}
