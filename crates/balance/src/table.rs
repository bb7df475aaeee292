//! All backend servers that an instance knows.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use clock::Instant;

use crate::backend::Backend;
use crate::lending::{Lending, Loans};
use crate::query::{Candidate, Choice, Query, Unavailable};
use crate::rendezvous;
use crate::report::Report;
use crate::server::{Key, Server};
use crate::slowdown::Model;
use crate::spillover::Limits;
use crate::summary::Summary;
use crate::tombstone::Tombstones;

/// How much a share of failures adds to the expected time. A request that fails has to be sent
/// again, or is lost.
const FAILURE_COST: f64 = 8.0;

/// The time by which crossing to another data centre has to be better, as a factor. What crosses is
/// paid for by the byte.
const CROSSING_FACTOR: f64 = 1.5;

/// The share of the cost by which servers that are alike are spread.
const TIE_SPREAD: f64 = 0.03;

/// All backend servers that an instance knows.
#[derive(Debug)]
pub struct Table {
    me: u64,
    centre: String,
    backends: HashMap<Key, Backend>,
    services: BTreeMap<String, Vec<Key>>,
    bases: HashMap<String, String>,
    evacuated: HashSet<String>,
    pace: Model,
    rooms: Limits,
    gone: Tombstones,
    /// The servers of this data centre that are used by another one, and the other way round.
    pub lending: Lending,
    /// The servers that this instance feeds while they are cold.
    fed: HashSet<Key>,
    /// The servers that this instance probes for its data centre.
    watched: HashSet<Key>,
    warmup_rates: HashMap<String, f64>,
}

impl Table {
    /// Returns an empty table of the instance `me` in `centre`.
    pub fn new(me: u64, centre: &str) -> Self {
        Self {
            me,
            centre: centre.to_owned(),
            backends: HashMap::new(),
            services: BTreeMap::new(),
            bases: HashMap::new(),
            evacuated: HashSet::new(),
            pace: Model::default(),
            rooms: Limits::default(),
            gone: Tombstones::default(),
            lending: Lending::default(),
            fed: HashSet::new(),
            watched: HashSet::new(),
            warmup_rates: HashMap::new(),
        }
    }

    /// Takes the servers that the store lists. With `spare`, servers that are listed no more are
    /// kept for a while: their entries may have lapsed while the store was away.
    pub fn update<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Server>,
        spare: bool,
        now: Instant,
    ) {
        let mut listed = HashSet::new();
        for server in servers {
            let key = server.key();
            if self.gone.covers(key, server.sequence) {
                continue;
            }
            listed.insert(key);
            match self.backends.get_mut(&key) {
                Some(backend) => backend.update(server, now),
                None => {
                    self.backends.insert(key, Backend::new(server.clone(), now));
                }
            }
        }
        let ids: HashMap<&str, u64> = listed
            .iter()
            .filter_map(|k| self.backends.get(k))
            .map(|b| (b.server.id.as_str(), b.server.started_at_ms))
            .collect();
        let started_again: HashSet<Key> = self
            .backends
            .iter()
            .filter(|(k, b)| !listed.contains(k) && ids.contains_key(b.server.id.as_str()))
            .map(|(k, _)| *k)
            .collect();
        let gone = &mut self.gone;
        self.backends.retain(|key, backend| {
            if listed.contains(key) {
                return true;
            }
            if !spare || backend.server.draining || started_again.contains(key) {
                gone.insert(*key, backend.server.sequence, now);
                return false;
            }
            backend.missing_since.get_or_insert(now);
            true
        });
        self.index();
    }

    /// Drops the servers that the store has not listed for `patience`. What late entries could still
    /// speak of is remembered for a while.
    pub fn drop_missing(&mut self, patience: Duration, now: Instant) {
        self.gone.expire(now);
        let before = self.backends.len();
        self.backends.retain(|_, b| {
            b.missing_since
                .is_none_or(|since| now.since(since) < patience)
        });
        if self.backends.len() != before {
            self.index();
        }
    }

    fn index(&mut self) {
        self.services.clear();
        for (key, backend) in &self.backends {
            let keys = self
                .services
                .entry(backend.server.service.clone())
                .or_default();
            keys.push(*key);
        }
        for keys in self.services.values_mut() {
            keys.sort_unstable();
        }
        for (service, keys) in &self.services {
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            for backend in keys.iter().filter_map(|k| self.backends.get(k)) {
                *counts.entry(&backend.server.version).or_default() += 1;
            }
            let known = self.bases.get(service);
            if known.is_some_and(|base| counts.contains_key(base.as_str())) {
                continue;
            }
            let most = counts.iter().max_by_key(|(_, count)| **count);
            if let Some((version, _)) = most {
                self.bases.insert(service.clone(), (*version).to_owned());
            }
        }
    }

    /// Sets the version that requests of `service` use while no order holds.
    pub fn set_base_version(&mut self, service: &str, version: &str) {
        self.bases.insert(service.to_owned(), version.to_owned());
    }

    /// Returns the version that requests of `service` use while no order holds.
    pub fn base_version(&self, service: &str) -> Option<&str> {
        self.bases.get(service).map(String::as_str)
    }

    /// Sets the data centres that get no work. Servers of one that returns are probed first, as they
    /// may have become cold.
    pub fn set_evacuated(&mut self, centres: HashSet<String>) {
        let returned = self.evacuated.difference(&centres);
        let returned: HashSet<&str> = returned.map(String::as_str).collect();
        for backend in self.backends.values_mut() {
            if returned.contains(backend.server.centre.as_str()) {
                backend.require_probe();
            }
        }
        self.evacuated = centres;
    }

    /// Sets the rate at which a cold server of each service may be fed.
    pub fn set_warmup_rates(&mut self, rates: HashMap<String, f64>) {
        self.warmup_rates = rates;
    }

    /// Sets the servers that this instance feeds while they are cold.
    pub fn set_warming(&mut self, fed: HashSet<Key>) {
        self.fed = fed;
    }

    /// Sets the servers that this instance probes for its data centre.
    pub fn set_probed(&mut self, watched: HashSet<Key>) {
        self.watched = watched;
    }

    /// Returns whether this instance probes the server for its data centre.
    pub fn is_prober_of(&self, key: Key) -> bool {
        self.watched.contains(&key)
    }

    /// Returns whether this data centre, and no other, sends requests to the server.
    pub fn is_exclusive(&self, key: Key, backend: &Backend) -> bool {
        if backend.server.centre == self.centre {
            !self.lending.is_lent(key)
        } else {
            self.lending.is_borrowed(key)
        }
    }

    /// Returns whether the server may get work at all.
    pub fn is_in_service(&self, backend: &Backend) -> bool {
        !backend.server.draining && !self.evacuated.contains(&backend.server.centre)
    }

    /// Returns the server of `key`.
    pub fn get(&self, key: Key) -> Option<&Backend> {
        self.backends.get(&key)
    }

    /// Returns the server of `key`, to be changed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Backend> {
        self.backends.get_mut(&key)
    }

    /// Returns all servers.
    pub fn backends(&self) -> impl Iterator<Item = (Key, &Backend)> {
        self.backends.iter().map(|(k, b)| (*k, b))
    }

    /// Notes that this instance sent a request to the server. Returns how many it has there.
    pub fn start(&mut self, key: Key, now: Instant) -> u32 {
        self.shift(key, 1, now)
    }

    /// Notes that a request of this instance has ended at the server. Returns how many are left.
    pub fn finish(&mut self, key: Key, now: Instant) -> u32 {
        self.shift(key, -1, now)
    }

    fn shift(&mut self, key: Key, by: i32, now: Instant) -> u32 {
        let me = self.me;
        let rates = &self.warmup_rates;
        let Some(backend) = self.backends.get_mut(&key) else {
            return 0;
        };
        let held = backend.in_flight_from(me).saturating_add_signed(by);
        backend.set_in_flight(me, held, now);
        if by > 0 && backend.is_cold(now) {
            let rate = rates.get(&backend.server.service).copied().unwrap_or(1.0);
            backend.warmup.record(now, rate);
        }
        held
    }

    /// Takes what a server said of its load.
    pub fn record_report(&mut self, key: Key, report: Report, at: Instant) {
        if let Some(backend) = self.backends.get_mut(&key) {
            let before = backend.newest_report();
            backend.record_report(report, at);
            self.pace.record(before, report, at);
        }
    }

    /// Forgets requests of instances that have not spoken lately.
    pub fn expire_in_flight(&mut self, now: Instant) {
        let me = self.me;
        for backend in self.backends.values_mut() {
            backend.expire_in_flight(me, now);
        }
    }

    /// Returns the names of the services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns the servers of `service`.
    pub fn servers(&self, service: &str) -> impl Iterator<Item = (Key, &Backend)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| Some((*key, self.backends.get(key)?)))
    }

    /// Returns whether the server is one of this data centre and can take its part of the work.
    pub fn is_usable(&self, backend: &Backend, now: Instant) -> bool {
        backend.server.centre == self.centre
            && self.is_in_service(backend)
            && !backend.is_cold(now)
            && !backend.needs_probe
            && !backend.is_unreachable(now)
    }

    /// Sets the servers that this data centre lends. Those that come back are probed first: others
    /// have had requests there.
    pub fn lend(&mut self, loans: Loans) {
        let returned = self.lending.lend(loans);
        self.require_probe(&returned);
    }

    /// Sets the servers that `lender` lends to this data centre. New ones are probed first.
    pub fn borrow(&mut self, lender: &str, keys: &[Key]) {
        let lent = self.lending.borrow(lender, keys);
        self.require_probe(&lent);
    }

    fn require_probe(&mut self, keys: &[Key]) {
        for key in keys {
            if let Some(backend) = self.backends.get_mut(key) {
                backend.require_probe();
            }
        }
    }

    /// Notes that the servers of `service` in another data centre have room for `room` requests
    /// more of this one. What it has there already counts as taken.
    pub fn set_spillover_headroom(&mut self, centre: &str, service: &str, room: f64) {
        // Without room those that are there are not replaced either.
        let ours = if room < 1.0 {
            0.0
        } else {
            self.visits(service).get(centre).copied().unwrap_or(0.0)
        };
        self.rooms.set(centre, service, ours + room);
    }

    /// Returns the requests of this data centre at servers of others that are not borrowed, by data
    /// centre.
    fn visits(&self, service: &str) -> HashMap<&str, f64> {
        let mut visits: HashMap<&str, f64> = HashMap::new();
        for key in self.services.get(service).map_or(&[][..], Vec::as_slice) {
            let backend = self.backends.get(key);
            let elsewhere = backend.filter(|b| b.server.centre != self.centre);
            if let Some(backend) = elsewhere.filter(|_| !self.lending.is_borrowed(*key)) {
                *visits.entry(&backend.server.centre).or_default() +=
                    f64::from(backend.centre_in_flight());
            }
        }
        visits
    }

    /// Returns the data centres that have no room for another request of this one.
    fn crowded(&self, service: &str) -> HashSet<&str> {
        let mut visits = self.visits(service);
        visits.retain(|centre, ours| !self.rooms.allows(centre, service, *ours));
        visits.into_keys().collect()
    }

    /// Returns how the pace of servers changes.
    pub fn slowdown(&self) -> Model {
        self.pace
    }

    /// Returns how the servers of each service are.
    pub fn summaries(&self, now: Instant) -> BTreeMap<String, Summary> {
        let mut states: BTreeMap<String, Summary> = BTreeMap::new();
        for backend in self.backends.values() {
            let state = states.entry(backend.server.service.clone()).or_default();
            state.listed += 1;
            if !self.is_in_service(backend) {
                state.out_of_service += 1;
                continue;
            }
            state.cold += usize::from(backend.is_cold(now));
            state.needs_probe += usize::from(backend.needs_probe);
            state.unreachable += usize::from(backend.is_unreachable(now));
            state.full += usize::from(backend.is_full(now));
            state.requests += backend.estimated_requests(now);
            state.slots += backend.slots();
        }
        states
    }

    /// Returns the requests of this instance, by server.
    pub fn in_flight(&self) -> Vec<(Key, u32)> {
        let held = self
            .backends
            .iter()
            .map(|(key, b)| (*key, b.in_flight_from(self.me)));
        held.filter(|(_, requests)| *requests > 0).collect()
    }

    /// Notes that `instance` has requests at the servers `held` only.
    pub fn retain_in_flight(&mut self, instance: u64, held: &[Key]) {
        for (key, backend) in &mut self.backends {
            if !held.contains(key) {
                backend.clear_in_flight(instance);
            }
        }
    }

    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no server can take it now.
    pub fn choose(&self, query: &Query<'_>, now: Instant) -> Result<Choice, Unavailable> {
        let candidates = self.candidates(query, now)?;
        let best = candidates.first().ok_or(Unavailable::NoCapacity)?;
        Ok(best.choice)
    }

    /// Returns the servers that can take a request now, the best first.
    ///
    /// A server may be filled beyond its knee while others have room below theirs that are slow,
    /// failing or far. When none has, requests wait: one more would slow down all that run.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no server can take it now.
    pub fn candidates(
        &self,
        query: &Query<'_>,
        now: Instant,
    ) -> Result<Vec<Candidate>, Unavailable> {
        let mut lack = Unavailable::NoServers;
        let mut found = Vec::new();
        let mut pressed = true;
        let keys = self
            .services
            .get(query.service)
            .map_or(&[][..], Vec::as_slice);
        let crowded = self.crowded(query.service);
        for key in keys {
            let Some(backend) = self.backends.get(key) else {
                continue;
            };
            if !self.may_use(*key, backend, query) {
                continue;
            }
            lack = Unavailable::NoCapacity;
            let borrowed = self.lending.is_borrowed(*key);
            if !borrowed && crowded.contains(backend.server.centre.as_str()) {
                continue;
            }
            if let Some(candidate) = self.weigh(*key, backend, query, now) {
                pressed &= backend.is_at_knee(now);
                found.push(candidate);
            }
        }
        if pressed {
            return Err(lack);
        }
        found.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        Ok(found)
    }

    fn may_use(&self, key: Key, backend: &Backend, query: &Query<'_>) -> bool {
        self.is_in_service(backend)
            && !query.tried.contains(&key)
            && !self.lending.is_lent(key)
            && query
                .versions
                .allows(&backend.server.version, self.base_version(query.service))
    }

    /// Returns what a request would cost at the server, in seconds, or `None` if it has no room.
    fn weigh(
        &self,
        key: Key,
        backend: &Backend,
        query: &Query<'_>,
        now: Instant,
    ) -> Option<Candidate> {
        const SUSPECT_FACTOR: f64 = 20.0;
        let cold = backend.is_cold(now);
        if cold && !(self.fed.contains(&key) && backend.warmup.allows(now)) {
            return None;
        }
        if backend.is_full(now) || backend.is_unreachable(now) {
            return None;
        }
        let expected = backend
            .expected_duration(query.work, &self.pace, now)
            .as_secs_f64();
        let mut cost = expected
            * (1.0 + backend.contention_cost(now))
            * (1.0 + FAILURE_COST * backend.failure_share(now));
        if backend.server.centre != self.centre {
            cost *= CROSSING_FACTOR;
            cost += query.work.as_secs_f64();
        }
        if backend.needs_probe {
            // A server that has not shown that it is warm again is used by the one that probes it.
            if !self.watched.contains(&key) {
                return None;
            }
            cost *= SUSPECT_FACTOR;
        }
        let choice = Choice {
            key,
            expected: Duration::from_secs_f64(expected),
            staleness_penalty: backend.staleness_penalty(query.work, &self.pace, now),
            requests: backend.estimated_requests(now) as u32,
            report_age: backend.report_age(now),
            cold,
            waiting_instances: 0,
            is_at_knee: backend.is_at_knee(now),
            changed_at: backend.changed_at(),
            state_id: backend.state_id(),
        };
        let spread = rendezvous::weight(&query.seed, &key) as f64 / u64::MAX as f64;
        Some(Candidate {
            // Servers of which nothing is known are alike, and all instances would choose the same.
            cost: cost * (1.0 + TIE_SPREAD * spread),
            choice,
        })
    }
}
