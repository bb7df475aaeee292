//! All backend servers that an instance knows.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use clock::Instant;

use crate::backend::Backend;
use crate::pace::Pace;
use crate::query::{Candidate, Choice, Lack, Query};
use crate::report::Report;
use crate::server::{Key, Server};

/// How much a share of failures adds to the expected time. A request that fails has to be sent
/// again, or is lost.
const FAILURE_COST: f64 = 8.0;

/// The time by which crossing to another data centre has to be better, as a factor. What crosses is
/// paid for by the byte.
const CROSSING_FACTOR: f64 = 1.5;

/// How long an entry may arrive late after its server has gone.
const GONE_FOR: Duration = Duration::from_secs(60);

/// The share of the cost by which servers that are alike are spread.
const TIE_SPREAD: f64 = 0.03;

/// The requests that a data centre may have in another one of which nothing is known.
const UNKNOWN_ROOM: f64 = 2.0;

/// How the servers of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// Servers that are known.
    pub listed: usize,
    /// Those that leave, or whose data centre gets no work.
    pub closed: usize,
    /// Those that are cold.
    pub cold: usize,
    /// Those that have to answer a probe first.
    pub suspect: usize,
    /// Those that could not be reached lately.
    pub unreachable: usize,
    /// Those that have no room.
    pub full: usize,
    /// The requests believed to be at servers that are open.
    pub requests: f64,
    /// The requests that can run there at a time.
    pub slots: f64,
}

/// All backend servers that an instance knows.
#[derive(Debug)]
pub struct Table {
    me: u64,
    centre: String,
    backends: HashMap<Key, Backend>,
    services: BTreeMap<String, Vec<Key>>,
    bases: HashMap<String, String>,
    evacuated: HashSet<String>,
    pace: Pace,
    /// The requests that this data centre may have in others, by data centre and service.
    rooms: HashMap<(String, String), f64>,
    /// What servers that are listed no more had written, and when they went.
    gone: HashMap<Key, (u64, Instant)>,
    /// The cold servers that this instance feeds.
    fed: HashSet<Key>,
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
            pace: Pace::default(),
            rooms: HashMap::new(),
            gone: HashMap::new(),
            fed: HashSet::new(),
            warmup_rates: HashMap::new(),
        }
    }

    /// Takes the servers that the store lists. A server that is listed no more is kept for as long
    /// as `spared` says so.
    pub fn update<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Server>,
        spare: bool,
        now: Instant,
    ) {
        let mut listed = HashSet::new();
        for server in servers {
            let key = server.key();
            if self
                .gone
                .get(&key)
                .is_some_and(|(count, _)| server.count <= *count)
            {
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
            .map(|b| (b.server.id.as_str(), b.server.born))
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
                gone.insert(*key, (backend.server.count, now));
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
        self.gone.retain(|_, (_, at)| now.since(*at) < GONE_FOR);
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
    pub fn set_base(&mut self, service: &str, version: &str) {
        self.bases.insert(service.to_owned(), version.to_owned());
    }

    /// Returns the version that requests of `service` use while no order holds.
    pub fn base(&self, service: &str) -> Option<&str> {
        self.bases.get(service).map(String::as_str)
    }

    /// Sets the data centres that get no work. Servers of one that returns are probed first, as they
    /// may have become cold.
    pub fn evacuate(&mut self, centres: HashSet<String>) {
        let returned = self.evacuated.difference(&centres);
        let returned: HashSet<&str> = returned.map(String::as_str).collect();
        for backend in self.backends.values_mut() {
            if returned.contains(backend.server.centre.as_str()) {
                backend.doubt();
            }
        }
        self.evacuated = centres;
    }

    /// Sets the rate at which a cold server of each service may be fed.
    pub fn set_warmup_rates(&mut self, rates: HashMap<String, f64>) {
        self.warmup_rates = rates;
    }

    /// Sets the servers that this instance feeds while they are cold.
    pub fn set_fed(&mut self, fed: HashSet<Key>) {
        self.fed = fed;
    }

    /// Returns whether this instance feeds the server while it is cold.
    pub fn is_fed(&self, key: Key) -> bool {
        self.fed.contains(&key)
    }

    /// Returns whether the server may get work at all.
    pub fn is_open(&self, backend: &Backend) -> bool {
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
        let held = backend.held_by(me).saturating_add_signed(by);
        backend.hold(me, held, now);
        if by > 0 && backend.is_cold(now) {
            let rate = rates.get(&backend.server.service).copied().unwrap_or(1.0);
            backend.ramp.pass(now, rate);
        }
        held
    }

    /// Takes what a server said of its load.
    pub fn report(&mut self, key: Key, report: Report, at: Instant) {
        if let Some(backend) = self.backends.get_mut(&key) {
            let before = backend.newest_report();
            backend.reported(report, at);
            self.pace.learn(before, report, at);
        }
    }

    /// Forgets requests of instances that have not spoken lately.
    pub fn expire(&mut self, now: Instant) {
        let me = self.me;
        for backend in self.backends.values_mut() {
            backend.expire(me, now);
        }
    }

    /// Returns the requests that the servers of this data centre have room for, by service.
    pub fn room(&self, now: Instant) -> Vec<(String, f64)> {
        let mut rooms: BTreeMap<&str, f64> = BTreeMap::new();
        for backend in self.backends.values() {
            let room = rooms.entry(&backend.server.service).or_default();
            let usable = backend.server.centre == self.centre
                && self.is_open(backend)
                && !backend.is_cold(now)
                && !backend.suspect
                && !backend.is_unreachable(now);
            if usable {
                *room += backend.room(now);
            }
        }
        rooms
            .into_iter()
            .map(|(service, room)| (service.to_owned(), room))
            .collect()
    }

    /// Notes that the servers of `service` in another data centre have room for `room` requests
    /// more of this one. What it has there already counts as taken.
    pub fn set_room(&mut self, centre: &str, service: &str, room: f64) {
        let ours = self.ours_in(centre, service);
        self.rooms
            .insert((centre.to_owned(), service.to_owned()), ours + room);
    }

    fn ours_in(&self, centre: &str, service: &str) -> f64 {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let backends = keys.iter().filter_map(|k| self.backends.get(k));
        let there = backends.filter(|b| b.server.centre == centre);
        there.map(|b| f64::from(b.ours())).sum()
    }

    /// Returns the data centres that have no room for another request of this one.
    fn crowded(&self, service: &str) -> HashSet<&str> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let backends = keys.iter().filter_map(|k| self.backends.get(k));
        let mut ours: HashMap<&str, f64> = HashMap::new();
        for backend in backends.filter(|b| b.server.centre != self.centre) {
            *ours.entry(&backend.server.centre).or_default() += f64::from(backend.ours());
        }
        let is_crowded = |centre: &str, ours: f64| {
            let room = self.rooms.get(&(centre.to_owned(), service.to_owned()));
            ours + 1.0 > room.copied().unwrap_or(UNKNOWN_ROOM)
        };
        ours.into_iter()
            .filter(|(c, n)| is_crowded(c, *n))
            .map(|(c, _)| c)
            .collect()
    }

    /// Returns how the pace of servers changes.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Returns how the servers of each service are.
    pub fn states(&self, now: Instant) -> BTreeMap<String, State> {
        let mut states: BTreeMap<String, State> = BTreeMap::new();
        for backend in self.backends.values() {
            let state = states.entry(backend.server.service.clone()).or_default();
            state.listed += 1;
            if !self.is_open(backend) {
                state.closed += 1;
                continue;
            }
            state.cold += usize::from(backend.is_cold(now));
            state.suspect += usize::from(backend.suspect);
            state.unreachable += usize::from(backend.is_unreachable(now));
            state.full += usize::from(backend.is_full(now));
            state.requests += backend.requests(now);
            state.slots += backend.slots();
        }
        states
    }

    /// Returns the requests of this instance, by server.
    pub fn held(&self) -> Vec<(Key, u32)> {
        let held = self
            .backends
            .iter()
            .map(|(key, b)| (*key, b.held_by(self.me)));
        held.filter(|(_, requests)| *requests > 0).collect()
    }

    /// Notes that `instance` has requests at the servers `held` only.
    pub fn release_others(&mut self, instance: u64, held: &[Key]) {
        for (key, backend) in &mut self.backends {
            if !held.contains(key) {
                backend.release(instance);
            }
        }
    }

    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// [`Lack`] if no server can take it now.
    pub fn choose(&self, query: &Query<'_>, now: Instant) -> Result<Choice, Lack> {
        let candidates = self.candidates(query, now)?;
        let best = candidates.first().ok_or(Lack::Room)?;
        Ok(best.choice)
    }

    /// Returns the servers that can take a request now, the best first.
    ///
    /// A server may be filled beyond its knee while others have room below theirs that are slow,
    /// failing or far. When none has, requests wait: one more would slow down all that run.
    ///
    /// # Errors
    ///
    /// [`Lack`] if no server can take it now.
    pub fn candidates(&self, query: &Query<'_>, now: Instant) -> Result<Vec<Candidate>, Lack> {
        let mut lack = Lack::Servers;
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
            lack = Lack::Room;
            if crowded.contains(backend.server.centre.as_str()) {
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
        self.is_open(backend)
            && !query.tried.contains(&key)
            && query
                .arm
                .allows(&backend.server.version, self.base(query.service))
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
        if cold && !(self.fed.contains(&key) && backend.ramp.allows(now)) {
            return None;
        }
        if backend.is_full(now) || backend.is_unreachable(now) {
            return None;
        }
        let expected = backend.expected(query.work, &self.pace, now).as_secs_f64();
        let mut cost = expected
            * (1.0 + backend.burden(now))
            * (1.0 + FAILURE_COST * backend.failure_share(now));
        if backend.server.centre != self.centre {
            cost *= CROSSING_FACTOR;
            cost += query.work.as_secs_f64();
        }
        if backend.suspect {
            // A server that has not shown that it is warm again may be used by its feeder only.
            if !self.fed.contains(&key) {
                return None;
            }
            cost *= SUSPECT_FACTOR;
        }
        let choice = Choice {
            key,
            expected: Duration::from_secs_f64(expected),
            doubt: backend.doubt_of(query.work, &self.pace, now),
            requests: backend.requests(now) as u32,
            report_age: backend.report_age(now),
            cold,
        };
        Some(Candidate {
            // Servers of which nothing is known are alike, and all instances would choose the same.
            cost: cost * (1.0 + TIE_SPREAD * fraction(&(query.seed, key))),
            choice,
        })
    }
}

/// Returns a number from 0 to 1 that follows from `subject`.
fn fraction<T>(subject: &T) -> f64
where
    T: Hash,
{
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
