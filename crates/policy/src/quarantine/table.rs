//! The requests suspected of crashing servers.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use clock::Instant;
use contract::id;

use super::{Crash, Fingerprint, Suspicion};

/// Maximum number of requests in a table. The one with the oldest crash is evicted first.
pub const CAPACITY: usize = 1024;

/// Maximum number of suspicions in one export, the latest first.
pub const EXPORT_LIMIT: usize = 64;

/// The number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;

/// How long crashes count against a request by default.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// Crashes of one server within this time count as one: several attempts may see the same crash,
/// and several instances may report it.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);

/// A crash of a server, with its time on this process's clock.
#[derive(Clone, Debug)]
struct Incident {
    server: id::Server,
    /// When the server was last known to run.
    alive_at: Instant,
    /// When it was known to have crashed.
    at: Instant,
}

impl Incident {
    /// Returns whether this may be the same crash as `other`, or have the same cause: servers that
    /// are lost together, such as those of one rack, were not crashed by a request.
    fn may_coincide(&self, other: &Self) -> bool {
        let is_same_server = self.server == other.server
            && self.at < other.at + SAME_CRASH_WINDOW
            && other.at < self.at + SAME_CRASH_WINDOW;
        is_same_server || (self.alive_at < other.at && other.alive_at < self.at)
    }
}

/// The requests suspected of crashing servers.
#[derive(Clone, Debug)]
pub struct Table {
    /// How long crashes count against a request, and thus how long it is refused, measured from the
    /// latest crash.
    retention: Duration,
    suspects: HashMap<Fingerprint, Vec<Incident>>,
    /// The suspects by the instant of their latest crash.
    by_latest_crash: BTreeSet<(Instant, Fingerprint)>,
}

impl Table {
    /// Returns an empty table, in which crashes count for a minute.
    pub fn new() -> Self {
        Self::with_retention(DEFAULT_RETENTION)
    }

    /// Returns an empty table, in which crashes count for `retention`.
    pub fn with_retention(retention: Duration) -> Self {
        Self {
            retention,
            suspects: HashMap::new(),
            by_latest_crash: BTreeSet::new(),
        }
    }

    /// Records that `server` crashed at `now` while it ran the request `fingerprint`.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, server: &id::Server, now: Instant) {
        self.record_crash_between(fingerprint, server, now, now);
    }

    /// Records that `server` crashed after `alive_at` and until `at` while it ran the request
    /// `fingerprint`. Crashes that may have happened at the same time count as one.
    pub fn record_crash_between(
        &mut self,
        fingerprint: Fingerprint,
        server: &id::Server,
        alive_at: Instant,
        at: Instant,
    ) {
        self.remove_expired(at);
        let incident = Incident {
            server: server.clone(),
            alive_at,
            at,
        };
        let incidents = self.suspects.entry(fingerprint).or_default();
        if incidents.iter().any(|i| i.may_coincide(&incident)) || incidents.len() == CRASH_LIMIT {
            return;
        }
        if let Some(last) = incidents.last() {
            self.by_latest_crash.remove(&(last.at, fingerprint));
        }
        incidents.push(incident);
        incidents.sort_by_key(|s| s.at);
        let latest = incidents.last().map_or(at, |s| s.at);
        self.by_latest_crash.insert((latest, fingerprint));
        self.evict_oldest();
    }

    /// Records a complete response to the request `fingerprint`, which shows that it does not crash
    /// servers and clears it.
    pub fn record_response(&mut self, fingerprint: Fingerprint) {
        if self.suspects.is_empty() {
            return;
        }
        if let Some(incidents) = self.suspects.remove(&fingerprint) {
            let latest = incidents.last().map(|s| (s.at, fingerprint));
            latest.map(|key| self.by_latest_crash.remove(&key));
        }
    }

    /// Returns whether the request `fingerprint` must be refused.
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes(fingerprint, now) >= CRASH_LIMIT
    }

    /// Returns for how long the request `fingerprint` must be refused, or `None` if it need not.
    pub fn block_left(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        if !self.is_blocked(fingerprint, now) {
            return None;
        }
        let latest = self.suspects.get(&fingerprint)?.last()?.at;
        Some((latest + self.retention).since(now))
    }

    /// Returns whether the request `fingerprint` is suspected of a crash.
    pub fn is_suspected(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes(fingerprint, now) > 0
    }

    /// Returns the number of suspected requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns at most [`EXPORT_LIMIT`] suspicions to send to other instances.
    pub fn export(&self, now: Instant) -> Vec<Suspicion> {
        let latest = self.by_latest_crash.iter().rev().take(EXPORT_LIMIT);
        latest
            .filter(|(at, _)| now < *at + self.retention)
            .map(|(_, fingerprint)| self.suspicion(*fingerprint, now))
            .collect()
    }

    /// Merges the suspicions that another instance exported. Merging them again has no effect.
    pub fn merge(&mut self, suspicions: &[Suspicion], now: Instant) {
        for suspicion in suspicions.iter().take(EXPORT_LIMIT) {
            for crash in suspicion.crashes.iter().take(CRASH_LIMIT) {
                let at = now.before(crash.age);
                let alive_at = at.before(crash.uncertainty);
                self.record_crash_between(suspicion.fingerprint, &crash.server, alive_at, at);
            }
        }
    }

    fn suspicion(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let incidents = self.suspects.get(&fingerprint).into_iter().flatten();
        let crashes = incidents.map(|s| Crash {
            server: s.server.clone(),
            age: now - s.at,
            uncertainty: s.at - s.alive_at,
        });
        Suspicion {
            fingerprint,
            crashes: crashes.collect(),
        }
    }

    /// Returns the number of crashes that count against the request `fingerprint`.
    pub fn crashes(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        match self.suspects.get(&fingerprint) {
            Some(found) if found.last().is_some_and(|s| now < s.at + self.retention) => found.len(),
            _ => 0,
        }
    }

    /// Removes the suspects whose latest crash no longer counts.
    fn remove_expired(&mut self, now: Instant) {
        while let Some((at, fingerprint)) = self.by_latest_crash.first().copied() {
            if now < at + self.retention {
                return;
            }
            self.by_latest_crash.pop_first();
            self.suspects.remove(&fingerprint);
        }
    }

    fn evict_oldest(&mut self) {
        while self.suspects.len() > CAPACITY {
            let Some((_, oldest)) = self.by_latest_crash.pop_first() else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}
