//! The owner's decisions about one pool: one service's backend servers in one data centre.
//!
//! Invariants:
//! - when a credit is granted, the live credits of its server do not exceed the server's allowance;
//! - a cold server has at most one credit that was granted since it is cold;
//! - servers that are leaving, draining, ejected or not listed, versions without a share, and data
//!   centres out of service get no credits and no probes;
//! - tickets that cannot wait go before those that can, then the earliest deadline goes first;
//! - a ticket ends in exactly one way: granted, withdrawn or dropped;
//! - the state is bounded by the queue's limit, the list of servers and the live credits.

mod config;
mod entry;
mod fault;
mod fleet;
mod group;
mod live;
mod queue;
mod rank;
mod routes;
mod standing;
mod witness;

use clock::Instant;
use contract::id;

use crate::credit::{self, Credit, Grant};
use crate::feedback::{Feedback, Outcome};
use crate::probe::{Bucket, Task};
use crate::quarantine::{Fingerprint, Table};
use crate::server::report::Report;
use crate::server::{Listing, State};
use crate::ticket::{self, Dropped, Refusal, Ticket};

pub use config::Config;
pub use fault::Fault;

use entry::Entry;
use fleet::{Fleet, Slot};
use live::Live;
use queue::Queue;
use routes::Routes;
use witness::Witness;

/// The servers that one ticket may keep off.
const MAX_AVOIDED: usize = 8;

/// The tickets passed over in one round of grants because their own terms do not allow a grant.
const MAX_PASSED: usize = 256;

/// The fraction of the capacity that must be free before hedges are welcome.
const SPARE_FRACTION: u64 = 4;

/// The owner's view of one service's backend servers in one data centre.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    fleet: Fleet,
    queue: Queue,
    live: Live,
    routes: Routes,
    witness: Witness,
    quarantine: Table,
    probes: Bucket,
    dropped: Vec<Dropped>,
    next_credit: credit::Id,
    in_service: bool,
    held_until: Instant,
    now: Instant,
}

impl Pool {
    /// Returns a pool without servers, in service.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            fleet: Fleet::default(),
            queue: Queue::default(),
            live: Live::default(),
            routes: Routes::default(),
            witness: Witness::default(),
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

    /// Takes over the list of servers.
    ///
    /// Servers that are leaving or not in the list get no more credits. Those that could not be
    /// used before start cold.
    pub fn set_servers(&mut self, listed: &[Listing], now: Instant) {
        self.advance(now);
        self.fleet.set_servers(listed, &self.config, now);
    }

    /// Sets the share of the grants for each version. Versions not named get none.
    ///
    /// Counts follow the shares within one grant as long as every version has room. A version
    /// without room loses its turns to the first one named and to the largest; no other exceeds its
    /// share. So the stable version is to be named first.
    pub fn set_shares(&mut self, shares: &[(id::Version, f64)]) {
        self.fleet.set_shares(shares);
    }

    /// Takes the data centre into service or out of it. Out of service, the queue is refused and
    /// nothing is granted. Back in service, all servers start cold.
    pub fn set_in_service(&mut self, in_service: bool) {
        if in_service && !self.in_service {
            self.fleet.chill(self.now);
        }
        self.in_service = in_service;
        if !in_service {
            self.refuse_queue(Refusal::OutOfService);
        }
    }

    /// Queues a ticket. Asking again for a queued ticket changes nothing.
    ///
    /// A full queue takes a ticket that cannot wait in place of one that can.
    ///
    /// # Errors
    ///
    /// Returns why the ticket is refused. It will not be granted then.
    pub fn enqueue(&mut self, mut ticket: Ticket, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        if self.queue.contains(ticket.id) {
            return Ok(());
        }
        self.check(&ticket, now)?;
        self.make_room(&ticket)?;
        ticket.avoid.sort_unstable();
        ticket.avoid.dedup();
        ticket.avoid.truncate(MAX_AVOIDED);
        self.queue.push(ticket);
        Ok(())
    }

    /// Withdraws a ticket, and returns whether it was queued. It will never be granted then.
    pub fn withdraw(&mut self, id: ticket::Id) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Grants as many credits as the servers have room for.
    ///
    /// Without a usable server the queue is refused, so that calls can go to another data centre.
    pub fn grant(&mut self, now: Instant) -> Vec<Grant> {
        self.advance(now);
        if !self.fleet.is_usable() {
            self.refuse_queue(Refusal::NoServers);
        }
        let mut grants = Vec::new();
        let mut place = None;
        let mut passed = 0;
        while self.may_grant(now) && passed < MAX_PASSED && self.fleet.can_grant() {
            let Some((next, ticket)) = self.queue.after(place) else {
                break;
            };
            place = Some(next);
            let id = ticket.id;
            if self.is_blocked(ticket.fingerprint, now) {
                self.drop_ticket(id, Refusal::Quarantined);
            } else if let Some(slot) = self.server_for(ticket, now) {
                grants.extend(self.grant_ticket(id, slot, now));
            } else {
                passed += 1;
            }
        }
        grants
    }

    /// Returns the tickets that were dropped since the last call. They count towards the limit of
    /// the queue until then.
    pub fn take_dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }

    /// Ends the credit `id`, and takes in what its attempt showed; `None` for a credit that was not
    /// used. Returns whether the credit was live: a second return changes nothing.
    pub fn release(&mut self, id: credit::Id, feedback: Option<Feedback>, now: Instant) -> bool {
        self.advance(now);
        let Some(entry) = self.live.remove(id) else {
            return false;
        };
        if let Some(feedback) = feedback {
            self.learn(&entry, &feedback, now);
        }
        self.fleet.release(entry.slot);
        true
    }

    /// Ends the credits and drops the tickets whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.advance(now);
    }

    /// Counts credits that an earlier owner granted. Each ends at the given instant, unless it is
    /// returned earlier: its expiry and the route's time limit must have passed by then.
    pub fn adopt(&mut self, held: &[(credit::Id, id::Server, Instant)], now: Instant) {
        self.advance(now);
        for (id, server, ends) in held {
            if *ends <= now || self.live.contains(*id) {
                continue;
            }
            let slot = self.fleet.slot_of(server, &self.config, now);
            self.fleet.take_adopted(slot);
            self.live.insert(*id, self.entry(slot, *ends));
        }
    }

    /// Grants nothing before `instant`, because credits of an earlier owner may live until then.
    pub fn hold_until(&mut self, instant: Instant) {
        self.held_until = self.held_until.max(instant);
    }

    /// Returns a probe, if the budget allows one and a server is in doubt.
    pub fn probe(&mut self, now: Instant) -> Option<Task> {
        self.advance(now);
        let (due, slot) = self.fleet.next_doubt()?;
        if due > now || !self.may_grant(now) || !self.probes.take(now) {
            return None;
        }
        self.fleet.take_probe(slot, now);
        let expires = now + self.config.credit_ttl;
        let ends = expires + self.config.probe_time_limit;
        let credit = self.issue(self.entry(slot, ends).of_probe());
        Some(Task { credit, expires })
    }

    /// Returns when the pool next has something to do without being told anything.
    pub fn next_event(&self) -> Option<Instant> {
        let held = !self.queue.is_empty() && self.held_until > self.now;
        let hold = held.then_some(self.held_until);
        let times = [
            hold,
            self.queue.next_deadline(),
            self.live.next_end(),
            self.fleet.next_change(),
            self.next_probe(),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns whether the servers have room to spare, so that hedges are welcome.
    pub fn has_spare_capacity(&self) -> bool {
        let (room, capacity) = self.fleet.room();
        self.queue.is_empty() && room > 0 && room * SPARE_FRACTION >= capacity
    }

    /// Returns whether calls wait or the next one would: credits are to be returned with each
    /// answer.
    pub fn is_contended(&self) -> bool {
        !self.queue.is_empty() || self.fleet.room().0 == 0
    }

    /// Returns the live credits with their servers and the instants at which they end by themselves.
    pub fn live_credits(&self) -> Vec<(credit::Id, id::Server, Instant)> {
        let entries = self.live.iter();
        entries
            .map(|(id, entry)| (id, self.fleet.record(entry.slot).name.clone(), entry.ends))
            .collect()
    }

    /// Returns the number of live credits.
    pub fn live_credit_count(&self) -> usize {
        self.live.len()
    }

    /// Returns whether `server` may be in a cold start, or is not known.
    pub fn is_cold(&self, server: &id::Server) -> bool {
        self.fleet
            .find(server)
            .is_none_or(|slot| self.fleet.record(slot).is_cold())
    }

    /// Returns the number of queued tickets.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the requests suspected of crashes, to be told to other instances.
    pub fn quarantine(&self) -> &Table {
        &self.quarantine
    }

    /// Returns the requests suspected of crashes, to take in what other instances tell.
    pub fn quarantine_mut(&mut self) -> &mut Table {
        &mut self.quarantine
    }

    /// Takes over what an earlier owner reported of servers when it handed the pool over. It counts
    /// for listed servers of the same version from which nothing was heard yet.
    pub fn restore(&mut self, states: &[State], now: Instant) {
        self.advance(now);
        self.fleet.inherit(states, &self.config, now);
    }

    /// Returns the state of each server, in the order of their names.
    pub fn snapshot(&self) -> Vec<State> {
        self.fleet.states()
    }

    /// Does what is due by time alone.
    fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        while let Some(entry) = self.live.pop_ended(now) {
            self.fleet.release(entry.slot);
        }
        while let Some(ticket) = self.queue.pop_expired(now) {
            self.dropped.push(dropped(ticket, Refusal::Expired));
        }
        self.fleet.advance(now);
    }

    fn check(&self, ticket: &Ticket, now: Instant) -> Result<(), Refusal> {
        if !self.in_service {
            return Err(Refusal::OutOfService);
        }
        if self.is_blocked(ticket.fingerprint, now) {
            return Err(Refusal::Quarantined);
        }
        if ticket.deadline <= now {
            return Err(Refusal::Expired);
        }
        if !self.fleet.is_usable() {
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

    /// Returns the server for a ticket.
    ///
    /// A request that is suspected of a crash runs once at a time, so that copies of it cannot
    /// crash many servers before the second crash is known.
    fn server_for(&self, ticket: &Ticket, now: Instant) -> Option<Slot> {
        let suspect = ticket
            .fingerprint
            .filter(|f| self.quarantine.is_suspected(*f, now));
        if suspect.is_some_and(|f| self.live.runs(f)) {
            return None;
        }
        self.fleet.choose(&ticket.avoid)
    }

    fn grant_ticket(&mut self, id: ticket::Id, slot: Slot, now: Instant) -> Option<Grant> {
        let ticket = self.queue.remove(id)?;
        self.fleet.take_turn(slot);
        let expires = now + self.config.credit_ttl;
        let ends = expires + ticket.time_limit;
        let credit = self.issue(self.entry(slot, ends).of_request(&ticket));
        Some(Grant {
            ticket: id,
            instance: ticket.instance,
            credit,
            expires,
        })
    }

    /// Issues a credit that the fleet has counted.
    fn issue(&mut self, entry: Entry) -> Credit {
        let credit = Credit {
            id: self.unused_id(),
            server: self.fleet.record(entry.slot).name.clone(),
            version: self.fleet.version(entry.slot).clone(),
        };
        self.live.insert(credit.id, entry);
        credit
    }

    /// Returns what to remember of a credit that the fleet has counted.
    fn entry(&self, slot: Slot, ends: Instant) -> Entry {
        let record = self.fleet.record(slot);
        Entry::new(slot, record.generation, record.live, ends)
    }

    /// Returns a number that no live credit has; adopted ones may have any.
    fn unused_id(&mut self) -> credit::Id {
        while self.live.contains(self.next_credit) {
            self.next_credit.0 = self.next_credit.0.wrapping_add(1);
        }
        let id = self.next_credit;
        self.next_credit.0 = id.0.wrapping_add(1);
        id
    }

    fn learn(&mut self, entry: &Entry, feedback: &Feedback, now: Instant) {
        if !self.is_believed(entry, feedback, now) {
            return;
        }
        let request_blamed = self.judge_request(entry, feedback, now);
        let ratio = self.routes.ratio(&feedback.route, feedback.latency);
        if !entry.probe {
            let cold = self.fleet.record(entry.slot).is_cold();
            self.routes.observe(feedback, cold);
        }
        let report = Report {
            feedback,
            generation: entry.generation,
            load: entry.load,
            probe: entry.probe,
            ratio: ratio.unwrap_or(1.0),
            compared: ratio.is_some(),
            request_blamed,
            excused: self.routes.is_failing(&feedback.route),
            spared: self.fleet.can_spare(entry.slot),
        };
        self.fleet.learn(entry.slot, &report, &self.config, now);
    }

    /// Returns whether feedback is about the server, and not about the instance that gave it.
    fn is_believed(&mut self, entry: &Entry, feedback: &Feedback, now: Instant) -> bool {
        let Some(instance) = &entry.instance else {
            return true;
        };
        match feedback.outcome {
            Outcome::Answered | Outcome::Failed | Outcome::Shed => {
                self.witness.answer(instance, now);
                true
            }
            Outcome::Unreachable => {
                let server = &self.fleet.record(entry.slot).name;
                self.witness.believe(instance, server, now)
            }
            // A request that crashes servers looks the same from an instance with little else to
            // do, so crashes are always believed.
            Outcome::Crashed | Outcome::TimedOut | Outcome::Abandoned => true,
        }
    }

    /// Notes what an attempt says of its request, and returns whether a crash is put down to the
    /// request: it was seen to crash a server before.
    fn judge_request(&mut self, entry: &Entry, feedback: &Feedback, now: Instant) -> bool {
        let Some(fingerprint) = feedback.fingerprint.or(entry.fingerprint) else {
            return false;
        };
        match feedback.outcome {
            Outcome::Answered => {
                self.quarantine.record_success(fingerprint);
                false
            }
            Outcome::Crashed => {
                let server = &self.fleet.record(entry.slot).name;
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
        let (due, _) = self.fleet.next_doubt()?;
        let ready = self.probes.ready()?;
        Some(due.max(ready).max(self.held_until))
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
