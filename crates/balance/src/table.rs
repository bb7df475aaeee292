//! The table of backend servers, from which a server is chosen for each request.
//!
//! The table holds the estimated state of each listed server, and applies what the instance knows
//! about data centres: which are evacuated, which servers are lent or borrowed, and how many
//! requests may spill over to other data centres.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use clock::Instant;

use crate::backend::Backend;
use crate::condition::Conditions;
use crate::duties::{Duties, Member, Origin};
use crate::lending::{Lending, Loans};
use crate::query::{Candidate, Choice, Query, Unavailable};
use crate::rendezvous;
use crate::report::Report;
use crate::server::{Key, Server};
use crate::slowdown::Model;
use crate::spillover::Limits;
use crate::summary::Summary;
use crate::tombstone::Tombstones;

/// The weight of the failure share in the cost. A failed request has to be retried, or is lost.
const FAILURE_FACTOR: f64 = 8.0;

/// The factor on the cost of servers in other data centres. Traffic between data centres is paid
/// for by the byte.
const CROSS_CENTRE_FACTOR: f64 = 1.5;

/// The largest share added to the cost by the seed of a request, which spreads requests over equal
/// servers.
const TIE_SPREAD: f64 = 0.03;

/// The age up to which a report tells whether a server of another group or data centre has capacity.
/// The requests of others there are not announced to this instance.
const VISIT_REPORT_TTL: Duration = Duration::from_millis(50);

/// The age up to which a report tells that a server is too slow for a caller's deadline.
const KNOWN_REPORT_TTL: Duration = Duration::from_millis(300);

/// The backend servers that an instance knows.
#[derive(Debug)]
pub struct Table {
    instance: u64,
    centre: String,
    backends: HashMap<Key, Backend>,
    services: BTreeMap<String, Vec<Key>>,
    base_versions: HashMap<String, String>,
    evacuated: HashSet<String>,
    slowdown: Model,
    spillover: Limits,
    tombstones: Tombstones,
    conditions: Conditions,
    /// The servers that this data centre lends and borrows.
    pub lending: Lending,
    /// What this instance does for its data centre, and the inputs from which that was derived.
    duties: Duties,
    duties_basis: (Vec<u64>, u64),
    /// Changes with the set of servers that this data centre uses.
    generation: u64,
    /// Servers of other groups that cannot take requests, as reported by those that probe them.
    reported_unusable: HashSet<Key>,
    /// The requests a second that a cold server may get, by service.
    warmup_rates: HashMap<String, f64>,
}

impl Table {
    /// Returns an empty table for `instance` in `centre`.
    pub fn new(instance: u64, centre: &str) -> Self {
        Self {
            instance,
            centre: centre.to_owned(),
            backends: HashMap::new(),
            services: BTreeMap::new(),
            base_versions: HashMap::new(),
            evacuated: HashSet::new(),
            slowdown: Model::default(),
            spillover: Limits::default(),
            tombstones: Tombstones::default(),
            conditions: Conditions::default(),
            lending: Lending::default(),
            duties: Duties::default(),
            duties_basis: (Vec::new(), 0),
            generation: 1,
            reported_unusable: HashSet::new(),
            warmup_rates: HashMap::new(),
        }
    }

    /// Applies the servers that the store lists. With `keep_missing`, servers that are no longer
    /// listed are kept until [`Self::drop_missing`] removes them, because their entries may have
    /// expired while the store was unavailable. Draining and restarted servers are not kept.
    pub fn update<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Server>,
        keep_missing: bool,
        now: Instant,
    ) {
        let mut listed = HashSet::new();
        let mut changed = false;
        for server in servers {
            let key = server.key();
            if self.tombstones.covers(key, server.sequence) {
                continue;
            }
            listed.insert(key);
            match self.backends.get_mut(&key) {
                Some(backend) => changed |= backend.update(server, now),
                None => {
                    self.backends.insert(key, Backend::new(server.clone(), now));
                    changed = true;
                }
            }
        }
        let listed_ids: HashMap<&str, u64> = listed
            .iter()
            .filter_map(|k| self.backends.get(k))
            .map(|b| (b.server.id.as_str(), b.server.started_at_ms))
            .collect();
        let restarted: HashSet<Key> = self
            .backends
            .iter()
            .filter(|(k, b)| !listed.contains(k) && listed_ids.contains_key(b.server.id.as_str()))
            .map(|(k, _)| *k)
            .collect();
        let tombstones = &mut self.tombstones;
        self.backends.retain(|key, backend| {
            if listed.contains(key) {
                return true;
            }
            if !keep_missing || backend.server.draining || restarted.contains(key) {
                tombstones.insert(*key, backend.server.sequence, now);
                changed = true;
                return false;
            }
            backend.missing_since.get_or_insert(now);
            true
        });
        if changed {
            self.rebuild_index();
        }
    }

    /// Drops the servers that the store has not listed for `grace`, and expires old tombstones.
    pub fn drop_missing(&mut self, grace: Duration, now: Instant) {
        self.tombstones.expire(now);
        self.conditions.expire(now);
        let previous = self.backends.len();
        self.backends
            .retain(|_, b| b.missing_since.is_none_or(|since| now.since(since) < grace));
        if self.backends.len() != previous {
            self.rebuild_index();
        }
    }

    /// Rebuilds the index of servers by service, and chooses the most common version as the base
    /// version of services that have none or whose base version has no server left.
    fn rebuild_index(&mut self) {
        self.generation += 1;
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
            let current = self.base_versions.get(service);
            if current.is_some_and(|base| counts.contains_key(base.as_str())) {
                continue;
            }
            let most_common = counts.iter().max_by_key(|(_, count)| **count);
            if let Some((version, _)) = most_common {
                self.base_versions
                    .insert(service.clone(), (*version).to_owned());
            }
        }
    }

    /// Sets the version that requests of `service` use while no rollout order is in force.
    pub fn set_base_version(&mut self, service: &str, version: &str) {
        self.base_versions
            .insert(service.to_owned(), version.to_owned());
    }

    /// Returns the version that requests of `service` use while no rollout order is in force.
    pub fn base_version(&self, service: &str) -> Option<&str> {
        self.base_versions.get(service).map(String::as_str)
    }

    /// Sets the data centres that get no requests. Servers of a data centre that is no longer
    /// evacuated have to answer a probe first, because they may have become cold.
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

    /// Sets the rate of requests that a cold server may get, in requests a second, by service.
    pub fn set_warmup_rates(&mut self, rates: HashMap<String, f64>) {
        self.warmup_rates = rates;
    }

    /// Derives the duties of this instance among the live `instances` of its data centre.
    pub fn assign_duties(&mut self, instances: &[u64]) {
        if self.duties_basis.0 == instances && self.duties_basis.1 == self.generation {
            return;
        }
        let servers = self.backends.iter().map(|(key, backend)| Member {
            key: *key,
            pool: (&backend.server.service, &backend.server.version),
            origin: self.origin(*key, backend),
        });
        self.duties = Duties::new(self.instance, instances, servers);
        self.duties_basis = (instances.to_vec(), self.generation);
    }

    /// Returns what this instance does for its data centre.
    pub fn duties(&self) -> &Duties {
        &self.duties
    }

    /// Sets the servers of other groups that cannot take requests.
    pub fn set_reported_unusable(&mut self, keys: HashSet<Key>) {
        self.reported_unusable = keys;
    }

    /// Returns the servers that this instance probes and that cannot take requests.
    pub fn unusable_probed(&self, now: Instant) -> Vec<Key> {
        let probed = self.duties.probed();
        let unusable = probed.filter(|key| {
            let backend = self.backends.get(key);
            backend.is_some_and(|b| b.server.centre == self.centre && !b.is_responsive(now))
        });
        unusable.collect()
    }

    /// Returns which data centre owns the server, and which one uses it.
    fn origin(&self, key: Key, backend: &Backend) -> Origin {
        let is_own = backend.server.centre == self.centre;
        match (is_own, is_own && self.lending.is_lent(key)) {
            (true, false) => Origin::Own,
            (true, true) => Origin::Lent,
            (false, _) if self.lending.is_borrowed(key) => Origin::Borrowed,
            (false, _) => Origin::Remote,
        }
    }

    /// Returns whether only this data centre sends requests to the server: it owns the server and
    /// does not lend it, or it borrows it.
    pub fn is_exclusive(&self, key: Key, backend: &Backend) -> bool {
        self.origin(key, backend).is_exclusive()
    }

    /// Returns whether the server may get requests: it is not draining, has not said that it leaves,
    /// nor is its data centre evacuated.
    pub fn is_in_service(&self, key: Key, backend: &Backend) -> bool {
        !backend.server.draining
            && !self.conditions.is_leaving(key)
            && !self.evacuated.contains(&backend.server.centre)
    }

    /// Records that the server has said that it leaves. Returns whether that is news.
    pub fn set_leaving(&mut self, key: Key, now: Instant) -> bool {
        self.conditions.set_leaving(key, now)
    }

    /// Returns the server with `key`.
    pub fn get(&self, key: Key) -> Option<&Backend> {
        self.backends.get(&key)
    }

    /// Returns the server with `key` for modification.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Backend> {
        self.backends.get_mut(&key)
    }

    /// Returns all servers.
    pub fn backends(&self) -> impl Iterator<Item = (Key, &Backend)> {
        self.backends.iter().map(|(k, b)| (*k, b))
    }

    /// Sets the number of requests that another instance of the data centre has in flight at the
    /// server.
    pub fn set_in_flight(&mut self, key: Key, instance: u64, requests: u32, now: Instant) {
        if let Some(backend) = self.backends.get_mut(&key) {
            let started = backend.set_in_flight(instance, requests, now);
            self.conditions.record_starts(key, started, now);
        }
    }

    /// Returns how many requests the server can run concurrently without slowing down, scaled to a
    /// server of normal speed.
    pub fn capacity(&self, key: Key, backend: &Backend) -> f64 {
        let capacity = backend.capacity(&self.slowdown);
        self.limit(key).map_or(capacity, |limit| {
            capacity.min(limit * backend.latency().as_secs_f64())
        })
    }

    /// Records that this instance sent a request to the server. Returns how many it now has in
    /// flight there.
    pub fn start(&mut self, key: Key, now: Instant) -> u32 {
        self.adjust_in_flight(key, 1, now)
    }

    /// Records that a request of this instance at the server has ended. Returns how many it still
    /// has in flight there.
    pub fn finish(&mut self, key: Key, now: Instant) -> u32 {
        self.adjust_in_flight(key, -1, now)
    }

    fn adjust_in_flight(&mut self, key: Key, change: i32, now: Instant) -> u32 {
        let instance = self.instance;
        let rates = &self.warmup_rates;
        let Some(backend) = self.backends.get_mut(&key) else {
            return 0;
        };
        let in_flight = backend
            .in_flight_from(instance)
            .saturating_add_signed(change);
        let started = backend.set_in_flight(instance, in_flight, now);
        self.conditions.record_starts(key, started, now);
        if change > 0 && backend.is_cold(now) {
            let rate = rates.get(&backend.server.service).copied().unwrap_or(1.0);
            backend.warmup.record(now, rate);
        }
        in_flight
    }

    /// Records that the server wants no requests of this instance for the time of `pause`.
    pub fn pause(&mut self, key: Key, pause: Duration, now: Instant) {
        self.conditions.pause(key, pause, now);
    }

    /// Records the requests a second that the server takes from all instances together, or that it
    /// names no limit. Returns whether that is a change.
    pub fn set_limit(&mut self, key: Key, limit: Option<f64>, now: Instant) -> bool {
        self.conditions.set_limit(key, limit, now)
    }

    /// Returns the requests a second that the server takes from all instances together, if it is
    /// limited.
    pub fn limit(&self, key: Key) -> Option<f64> {
        self.conditions.limit(key)
    }

    /// Returns when the server takes the next request of this instance, or `None` if it takes one
    /// now.
    pub fn opens_at(&self, key: Key, now: Instant) -> Option<Instant> {
        self.conditions.opens_at(key, now)
    }

    /// Records a load report of the server, and updates the slowdown model.
    pub fn record_report(&mut self, key: Key, report: Report, at: Instant) {
        if let Some(backend) = self.backends.get_mut(&key) {
            let previous = backend.newest_report();
            backend.record_report(report, at);
            self.slowdown.record(previous, report, at);
        }
    }

    /// Drops the requests in flight of instances that did not repeat them within `ttl`.
    pub fn expire_in_flight(&mut self, ttl: Duration, now: Instant) {
        let instance = self.instance;
        for backend in self.backends.values_mut() {
            backend.expire_in_flight(instance, ttl, now);
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

    /// Returns whether the server belongs to this data centre and is ready for requests.
    pub fn is_usable(&self, key: Key, backend: &Backend, now: Instant) -> bool {
        let is_responsive = if self.duties.is_elsewhere(key) {
            !self.reported_unusable.contains(&key)
        } else {
            backend.is_responsive(now)
        };
        backend.server.centre == self.centre && self.is_in_service(key, backend) && is_responsive
    }

    /// Sets the servers that this data centre lends. Returned servers have to answer a probe first,
    /// because others sent requests to them.
    pub fn lend(&mut self, loans: Loans) {
        let change = self.lending.lend(loans);
        self.generation += u64::from(!change.is_empty());
        self.require_probe(&change.removed);
    }

    /// Sets the servers that `lender` lends to this data centre. New ones have to answer a probe
    /// first.
    pub fn borrow(&mut self, lender: &str, keys: &[Key]) {
        let change = self.lending.borrow(lender, keys);
        self.generation += u64::from(!change.is_empty());
        self.require_probe(&change.added);
    }

    /// Drops the servers borrowed from data centres other than `lenders`.
    pub fn retain_lenders(&mut self, lenders: &[String]) {
        let changed = self.lending.retain_lenders(lenders);
        self.generation += u64::from(changed);
    }

    fn require_probe(&mut self, keys: &[Key]) {
        for key in keys {
            if let Some(backend) = self.backends.get_mut(key) {
                backend.require_probe();
            }
        }
    }

    /// Records that the servers of `service` in another data centre can take `headroom` more
    /// requests from this one, in addition to those that it has there now.
    pub fn set_spillover_headroom(&mut self, centre: &str, service: &str, headroom: f64) {
        // Without headroom, requests that end there are not replaced by new ones either.
        let current = if headroom < 1.0 {
            0.0
        } else {
            self.spilled_over(service)
                .get(centre)
                .copied()
                .unwrap_or(0.0)
        };
        self.spillover.set(centre, service, current + headroom);
    }

    /// Returns the requests of this data centre at servers of others, except borrowed ones, by data
    /// centre.
    fn spilled_over(&self, service: &str) -> HashMap<&str, f64> {
        let mut requests: HashMap<&str, f64> = HashMap::new();
        for key in self.services.get(service).map_or(&[][..], Vec::as_slice) {
            let backend = self.backends.get(key);
            let remote = backend.filter(|b| b.server.centre != self.centre);
            if let Some(backend) = remote.filter(|_| !self.lending.is_borrowed(*key)) {
                *requests.entry(&backend.server.centre).or_default() +=
                    f64::from(backend.centre_in_flight());
            }
        }
        requests
    }

    /// Returns the data centres that cannot take another request from this one.
    fn exhausted_centres(&self, service: &str) -> HashSet<&str> {
        let mut requests = self.spilled_over(service);
        requests.retain(|centre, current| !self.spillover.allows(centre, service, *current));
        requests.into_keys().collect()
    }

    /// Returns the model of how the slowdown of servers changes.
    pub fn slowdown(&self) -> Model {
        self.slowdown
    }

    /// Returns the servers counted by condition, by service.
    pub fn summaries(&self, now: Instant) -> BTreeMap<String, Summary> {
        let services = self.services.keys();
        let summaries = services.map(|service| (service.clone(), self.summary(service, now)));
        summaries.collect()
    }

    /// Returns the servers of `service` counted by condition.
    pub fn summary(&self, service: &str, now: Instant) -> Summary {
        let mut summary = Summary::default();
        for (key, backend) in self.servers(service) {
            summary.listed += 1;
            if !self.is_in_service(key, backend) {
                summary.out_of_service += 1;
                continue;
            }
            let is_local = self.is_exclusive(key, backend) && !self.duties.is_elsewhere(key);
            summary.local += usize::from(is_local);
            summary.cold += usize::from(backend.is_cold(now));
            summary.needs_probe += usize::from(backend.needs_probe);
            summary.unreachable += usize::from(backend.is_unreachable(now));
            summary.at_knee += usize::from(backend.is_at_knee(now));
            summary.full += usize::from(backend.is_full(now));
            summary.limited += usize::from(self.limit(key).is_some());
            summary.closed += usize::from(self.opens_at(key, now).is_some());
            summary.requests += backend.estimated_requests(now);
            summary.slots += backend.slots();
            if is_local {
                let age = backend.report_age(now);
                summary.oldest_report = summary.oldest_report.max(age);
            }
        }
        summary
    }

    /// Returns the requests in flight from this instance, by server.
    pub fn in_flight(&self) -> Vec<(Key, u32)> {
        let in_flight = self
            .backends
            .iter()
            .map(|(key, b)| (*key, b.in_flight_from(self.instance)));
        in_flight.filter(|(_, requests)| *requests > 0).collect()
    }

    /// Records that `instance` has requests in flight only at the servers `keys`.
    pub fn retain_in_flight(&mut self, instance: u64, keys: &[Key]) {
        for (key, backend) in &mut self.backends {
            if !keys.contains(key) {
                backend.clear_in_flight(instance);
            }
        }
    }

    /// Returns the best server for a request.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no server can take it now.
    pub fn choose(&self, query: &Query<'_>, now: Instant) -> Result<Choice, Unavailable> {
        let candidates = self.candidates(query, now)?;
        let best = candidates.first().ok_or(Unavailable::NoCapacity)?;
        Ok(best.choice)
    }

    /// Returns the servers that can take a request now, best first.
    ///
    /// A server may be filled beyond its knee while others that are slow, failing or remote have
    /// spare capacity below theirs. Otherwise requests wait, because one more would slow down all
    /// that are running.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no server can take it now.
    pub fn candidates(
        &self,
        query: &Query<'_>,
        now: Instant,
    ) -> Result<Vec<Candidate>, Unavailable> {
        let mut reason = Unavailable::NoServers;
        let mut paused_until: Option<Instant> = None;
        let mut known = Vec::new();
        let mut visited = Vec::new();
        let exhausted = self.exhausted_centres(query.service);
        for (key, backend) in self.servers(query.service) {
            if !self.may_use(key, backend, query) {
                continue;
            }
            if let Some(at) = self.opens_at(key, now) {
                paused_until = Some(paused_until.map_or(at, |first| first.min(at)));
                continue;
            }
            reason = Unavailable::NoCapacity;
            let borrowed = self.lending.is_borrowed(key);
            if !borrowed && exhausted.contains(backend.server.centre.as_str()) {
                continue;
            }
            let elsewhere = self.duties.is_elsewhere(key);
            // Others use the server too, and this instance does not hear of all their requests.
            if self.limit(key).is_some() && (elsewhere || !self.is_exclusive(key, backend)) {
                continue;
            }
            if elsewhere && !backend.has_report_within(VISIT_REPORT_TTL, now) {
                continue;
            }
            if let Some(candidate) = self.evaluate(key, backend, query, now) {
                if elsewhere { &mut visited } else { &mut known }.push(candidate);
            }
        }
        let all_saturated =
            |candidates: &[Candidate]| candidates.iter().all(|c| c.choice.is_saturated);
        let mut found = if all_saturated(&known) {
            visited
        } else {
            known
        };
        if all_saturated(&found) {
            return Err(match (reason, paused_until) {
                (Unavailable::NoServers, Some(at)) => Unavailable::Paused(at),
                _ => reason,
            });
        }
        found.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        Ok(found)
    }

    /// Returns up to `count` servers to probe of which one may complete a request `within` a time
    /// for which the known servers are too busy or too slow: servers of other groups, or else of
    /// other data centres with headroom.
    pub fn visits(
        &self,
        query: &Query<'_>,
        within: Duration,
        count: usize,
        now: Instant,
    ) -> Vec<Key> {
        let exhausted = self.exhausted_centres(query.service);
        let (mut elsewhere, mut remote) = (Vec::new(), Vec::new());
        for (key, backend) in self.servers(query.service) {
            let may_answer = self.may_use(key, backend, query)
                && self.opens_at(key, now).is_none()
                && self.limit(key).is_none()
                && !backend.is_cold(now)
                && !backend.is_unreachable(now)
                && !backend.has_report_within(VISIT_REPORT_TTL, now)
                && backend.expected_duration(query.work, &self.slowdown, now) <= within;
            if !may_answer {
                continue;
            }
            if self.duties.is_elsewhere(key) {
                elsewhere.push(key);
            } else if self.origin(key, backend) == Origin::Remote
                && !exhausted.contains(backend.server.centre.as_str())
            {
                remote.push(key);
            }
        }
        let mut keys = if elsewhere.is_empty() {
            remote
        } else {
            elsewhere
        };
        let draw = |key: &Key| rendezvous::weight(&(query.seed, now.as_micros()), key);
        keys.sort_by_cached_key(draw);
        keys.truncate(count);
        keys
    }

    fn may_use(&self, key: Key, backend: &Backend, query: &Query<'_>) -> bool {
        self.is_in_service(key, backend)
            && !query.tried.contains(&key)
            && !self.lending.is_lent(key)
            && query
                .versions
                .allows(&backend.server.version, self.base_version(query.service))
    }

    /// Returns the server with its cost for a request, or `None` if it cannot take the request now.
    fn evaluate(
        &self,
        key: Key,
        backend: &Backend,
        query: &Query<'_>,
        now: Instant,
    ) -> Option<Candidate> {
        const UNPROBED_FACTOR: f64 = 20.0;
        let cold = backend.is_cold(now);
        if cold && !(self.duties.is_warming(key) && backend.warmup.allows(now)) {
            return None;
        }
        if backend.is_full(now) || backend.is_unreachable(now) {
            return None;
        }
        let expected = backend
            .expected_duration(query.work, &self.slowdown, now)
            .as_secs_f64();
        let is_known = backend.has_report_within(KNOWN_REPORT_TTL, now);
        if is_known && expected > query.time_left.as_secs_f64() {
            return None;
        }
        let mut cost = expected
            * (1.0 + backend.contention_cost(now))
            * (1.0 + FAILURE_FACTOR * backend.failure_share(now));
        if backend.server.centre != self.centre {
            cost *= CROSS_CENTRE_FACTOR;
            cost += query.work.as_secs_f64();
        }
        if backend.needs_probe {
            // Only the instance that probes a server may use it before it has answered a probe.
            if !self.duties.is_prober_of(key) {
                return None;
            }
            cost *= UNPROBED_FACTOR;
        }
        let choice = Choice {
            key,
            expected: Duration::from_secs_f64(expected),
            staleness_penalty: backend.staleness_penalty(query.work, &self.slowdown, now),
            requests: backend.estimated_requests(now) as u32,
            report_age: backend.report_age(now),
            cold,
            waiting_instances: 0,
            is_saturated: backend.is_saturated(now),
            changed_at: backend.changed_at(),
            state_id: backend.state_id(),
        };
        let spread = rendezvous::weight(&query.seed, &key) as f64 / u64::MAX as f64;
        Some(Candidate {
            // Without this, all instances would choose the same of several equal servers.
            cost: cost * (1.0 + TIE_SPREAD * spread),
            choice,
        })
    }
}
