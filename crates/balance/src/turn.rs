//! Arbitrates between instances that wait for the same servers.
//!
//! All instances of a data centre learn at the same time that a server has capacity again. If each
//! of them sent a waiting request, the server would get one from each. Instead they take turns: all
//! compute the same order of the waiting instances, and each waits for those before it, for as long
//! as it takes to learn that they sent a request. An instance that does not use its turn delays the
//! others by that time only.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::query::Candidate;
use crate::rendezvous;
use crate::server::Key;

/// How long an instance waits for each one before it: the time in which the start of a request
/// reaches the other instances, including busy ones.
const TURN: Duration = Duration::from_millis(4);

/// As [`TURN`], in a data centre whose instances handle messages in batches.
const BATCHED_TURN: Duration = Duration::from_millis(12);

/// How long an announced backlog counts unless it is repeated.
const BACKLOG_TTL: Duration = Duration::from_millis(150);

/// How long a server counts as available after it was last seen so. Waiting requests check more
/// often than that.
const SIGHTING_TTL: Duration = Duration::from_millis(50);

/// The requests of one instance that wait for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// The priority of the first request, 0 being the most urgent.
    pub priority: u32,
    /// The number of requests.
    pub length: u32,
}

/// The backlogs that another instance announced, by service.
#[derive(Clone, Debug)]
struct Announcement {
    backlogs: HashMap<String, Backlog>,
    at: Instant,
}

/// When this instance first and last saw a server with spare capacity.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    first: Instant,
    last: Instant,
}

/// The instances with waiting requests, and the servers seen with spare capacity.
#[derive(Debug, Default)]
pub struct Turns {
    announcements: HashMap<u64, Announcement>,
    sightings: HashMap<Key, Sighting>,
    /// Whether the instances handle messages in batches.
    batched: bool,
}

/// Which servers an instance may use now, or when it may use one.
#[derive(Clone, Debug, PartialEq)]
pub enum Turn {
    /// The servers that may be used now, best first.
    Now(Vec<Candidate>),
    /// No server may be used before this time.
    At(Instant),
}

impl Turns {
    /// Sets whether the instances of the data centre handle messages in batches.
    pub fn set_batched(&mut self, batched: bool) {
        self.batched = batched;
    }

    /// Replaces the backlogs of `instance`, by service.
    pub fn set_backlogs(
        &mut self,
        instance: u64,
        backlogs: HashMap<String, Backlog>,
        now: Instant,
    ) {
        self.announcements
            .retain(|_, a| now.since(a.at) < BACKLOG_TTL);
        self.sightings
            .retain(|_, s| now.since(s.last) <= SIGHTING_TTL);
        if backlogs.is_empty() {
            self.announcements.remove(&instance);
        } else {
            self.announcements
                .insert(instance, Announcement { backlogs, at: now });
        }
    }

    /// Returns whether another instance has requests waiting for `service` that are at least as
    /// urgent as `priority`.
    pub fn is_contended(&self, service: &str, priority: u32, now: Instant) -> bool {
        self.others(service, now)
            .any(|(_, backlog)| backlog.priority <= priority)
    }

    fn others<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (u64, Backlog)> + 'a {
        let current = self
            .announcements
            .iter()
            .filter(move |(_, a)| now.since(a.at) < BACKLOG_TTL);
        current.filter_map(move |(instance, a)| Some((*instance, *a.backlogs.get(service)?)))
    }

    /// Returns which of `candidates` the instance `own` may use now for the first request of its
    /// `backlog`.
    ///
    /// While other instances wait, servers at their knee are left out.
    pub fn take(
        &mut self,
        service: &str,
        own: u64,
        backlog: Backlog,
        candidates: Vec<Candidate>,
        now: Instant,
    ) -> Turn {
        let others: Vec<(u64, Backlog)> = self.others(service, now).collect();
        if others.is_empty() {
            return Turn::Now(candidates);
        }
        let mut earliest = Instant::MAX;
        let mut ready = Vec::new();
        let waiting = u32::try_from(others.len()).unwrap_or(u32::MAX);
        let turn = if self.batched { BATCHED_TURN } else { TURN };
        for mut candidate in candidates.into_iter().filter(|c| !c.choice.is_saturated) {
            let choice = &candidate.choice;
            let subject = (choice.key, choice.state_id);
            let own_order = order(own, backlog, subject);
            let preceding = others
                .iter()
                .filter(|(instance, backlog)| order(*instance, *backlog, subject) < own_order)
                .count();
            // A server can also become available as estimates decay over time. All instances see
            // that at about the same moment.
            let since =
                available_since(&mut self.sightings, choice.key, now).max(choice.changed_at);
            let at = since + turn * u32::try_from(preceding).unwrap_or(u32::MAX);
            if at <= now {
                candidate.choice.waiting_instances = waiting;
                ready.push(candidate);
            }
            earliest = earliest.min(at);
        }
        if ready.is_empty() {
            Turn::At(earliest)
        } else {
            Turn::Now(ready)
        }
    }
}

/// Records that the server has spare capacity `now`, and returns since when it has had some.
fn available_since(sightings: &mut HashMap<Key, Sighting>, key: Key, now: Instant) -> Instant {
    let sighting = Sighting {
        first: now,
        last: now,
    };
    let known = sightings.entry(key).or_insert(sighting);
    if now.since(known.last) > SIGHTING_TTL {
        *known = sighting;
    }
    known.last = now;
    known.first
}

/// Returns the sort key of an instance for a server in one state. The most urgent backlog goes
/// first. Among equals, the chance of an instance to be first is proportional to its backlog.
fn order(instance: u64, backlog: Backlog, subject: (Key, u64)) -> (u32, f64) {
    let draw = (rendezvous::weight(&instance, &subject) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    (
        backlog.priority,
        -draw.ln() / f64::from(backlog.length.max(1)),
    )
}
