//! The requests suspected of crashes.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use clock::Instant;
use contract::id;

use super::{Crash, Fingerprint, Suspicion};

/// The number of requests that a table holds. The one whose crashes are the oldest goes first.
pub const CAPACITY: usize = 1024;

/// The number of suspicions in one export, the latest first.
pub const EXPORT_LIMIT: usize = 64;

/// The number of crashes after which a request is refused.
const CRASH_LIMIT: usize = 2;

/// How long a crash counts against a request, and how long a request is refused after its last.
const MEMORY: Duration = Duration::from_secs(60);

/// Crashes of one server closer together than this are one death, seen by several attempts or
/// reported by several instances.
const SAME_DEATH: Duration = Duration::from_secs(5);

/// A crash at an instant of this process.
#[derive(Clone, Debug)]
struct Seen {
    server: id::Server,
    at: Instant,
}

/// The requests suspected of crashes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    suspects: HashMap<Fingerprint, Vec<Seen>>,
    /// The instant of each suspect's latest crash.
    order: BTreeSet<(Instant, Fingerprint)>,
}

impl Table {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `server` crashed while it ran the request `fingerprint`.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, server: &id::Server, now: Instant) {
        self.forget(now);
        let seen = self.suspects.entry(fingerprint).or_default();
        if seen.iter().any(|s| same_death(s, server, now)) || seen.len() == CRASH_LIMIT {
            return;
        }
        if let Some(last) = seen.last() {
            self.order.remove(&(last.at, fingerprint));
        }
        let server = server.clone();
        seen.push(Seen { server, at: now });
        seen.sort_by_key(|s| s.at);
        let latest = seen.last().map_or(now, |s| s.at);
        self.order.insert((latest, fingerprint));
        self.shrink();
    }

    /// Records a whole answer to the request `fingerprint`: it does not crash servers.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        if self.suspects.is_empty() {
            return;
        }
        if let Some(seen) = self.suspects.remove(&fingerprint) {
            let latest = seen.last().map(|s| (s.at, fingerprint));
            latest.map(|key| self.order.remove(&key));
        }
    }

    /// Returns whether the request `fingerprint` is to be refused.
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes(fingerprint, now) >= CRASH_LIMIT
    }

    /// Returns whether the request `fingerprint` was seen to crash a server.
    pub fn is_suspected(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes(fingerprint, now) > 0
    }

    /// Returns the number of requests held.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns what to tell other instances: at most [`EXPORT_LIMIT`] suspicions.
    pub fn export(&self, now: Instant) -> Vec<Suspicion> {
        let latest = self.order.iter().rev().take(EXPORT_LIMIT);
        latest
            .filter(|(at, _)| now < *at + MEMORY)
            .map(|(_, fingerprint)| self.suspicion(*fingerprint, now))
            .collect()
    }

    /// Takes in what another instance exported. Doing so again changes nothing.
    pub fn merge(&mut self, suspicions: &[Suspicion], now: Instant) {
        for suspicion in suspicions.iter().take(EXPORT_LIMIT) {
            for crash in suspicion.crashes.iter().take(CRASH_LIMIT) {
                let at = now.before(crash.age);
                self.record_crash(suspicion.fingerprint, &crash.server, at);
            }
        }
    }

    fn suspicion(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let seen = self.suspects.get(&fingerprint).into_iter().flatten();
        let crashes = seen.map(|s| Crash {
            server: s.server.clone(),
            age: now - s.at,
        });
        Suspicion {
            fingerprint,
            crashes: crashes.collect(),
        }
    }

    fn crashes(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        match self.suspects.get(&fingerprint) {
            Some(seen) if seen.last().is_some_and(|s| now < s.at + MEMORY) => seen.len(),
            _ => 0,
        }
    }

    /// Drops the suspects whose latest crash no longer counts.
    fn forget(&mut self, now: Instant) {
        while let Some((at, fingerprint)) = self.order.first().copied() {
            if now < at + MEMORY {
                return;
            }
            self.order.pop_first();
            self.suspects.remove(&fingerprint);
        }
    }

    fn shrink(&mut self) {
        while self.suspects.len() > CAPACITY {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}

fn same_death(seen: &Seen, server: &id::Server, at: Instant) -> bool {
    seen.server == *server && at < seen.at + SAME_DEATH && seen.at < at + SAME_DEATH
}
