//! The requests suspected of crashing servers.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use clock::Instant;
use contract::id;

use super::completions::Completions;
use super::incident::Incident;
use super::suspect::Suspect;
use super::{Crash, Fingerprint, Suspicion};

/// Maximum number of requests in a table. The one with the oldest crash is evicted first.
pub const CAPACITY: usize = 1024;

/// Maximum number of suspicions in one export, the latest first.
pub const EXPORT_LIMIT: usize = 64;

/// The number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 2;

/// How long crashes count against a request by default.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// How long a request that servers have completed before is refused after the second crash. Each
/// crash under a copy that was tried after that makes it [`PROBATION_GROWTH`] times as long.
const FIRST_PROBATION: Duration = Duration::from_millis(500);
const PROBATION_GROWTH: u32 = 10;

/// The requests suspected of crashing servers.
#[derive(Clone, Debug)]
pub struct Table {
    /// How long crashes count against a request, and thus how long it is refused, measured from the
    /// latest crash.
    retention: Duration,
    suspects: HashMap<Fingerprint, Suspect>,
    /// The suspects by the instant of their latest crash.
    by_latest_crash: BTreeSet<(Instant, Fingerprint)>,
    completions: Completions,
    /// The factor on the time of a probation.
    stagger: f64,
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
            completions: Completions::default(),
            stagger: 1.0,
        }
    }

    /// Makes probations longer by the factor `stagger`. Instances with different factors do not try
    /// a suspected request at the same moment.
    #[must_use]
    pub fn with_stagger(self, stagger: f64) -> Self {
        Self { stagger, ..self }
    }

    /// Records that `server` crashed at `now` while it ran the request `fingerprint`.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, server: &id::Server, now: Instant) {
        self.record_crash_between(fingerprint, server, now, now);
    }

    /// Records that `server` crashed after `alive_at` and until `at` while it ran the request
    /// `fingerprint`. Crashes that may have happened at the same time count as one, and those before
    /// the request completed do not count.
    pub fn record_crash_between(
        &mut self,
        fingerprint: Fingerprint,
        server: &id::Server,
        alive_at: Instant,
        at: Instant,
    ) {
        self.remove_expired(at);
        if self.completions.has_since(fingerprint, at) {
            return;
        }
        let incident = Incident {
            server: server.clone(),
            alive_at,
            at,
        };
        let has_completed = self.completions.has_recent(fingerprint, at);
        let suspect = self.suspects.entry(fingerprint).or_default();
        let before = suspect.latest();
        let probation_ended = before.map(|latest| latest + probation(suspect));
        let is_full = suspect.incidents().len() == CRASH_LIMIT;
        if !suspect.add(incident, has_completed) {
            return;
        }
        if is_full && probation_ended.is_some_and(|ended| ended <= alive_at) {
            suspect.count_failed_trial();
        }
        if let Some(before) = before {
            self.by_latest_crash.remove(&(before, fingerprint));
        }
        let latest = suspect.latest().unwrap_or(at);
        self.by_latest_crash.insert((latest, fingerprint));
        self.evict_oldest();
    }

    /// Records a complete response to the request `fingerprint`, which shows that it does not crash
    /// servers and clears it.
    pub fn record_response(&mut self, fingerprint: Fingerprint) {
        if self.suspects.is_empty() {
            return;
        }
        if let Some(suspect) = self.suspects.remove(&fingerprint) {
            let latest = suspect.latest().map(|at| (at, fingerprint));
            latest.map(|key| self.by_latest_crash.remove(&key));
        }
    }

    /// Like [`Self::record_response`], and remembers that a server has completed the request at
    /// `now`: after crashes that follow, it is only refused for a probation.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.record_response(fingerprint);
        self.completions.record(fingerprint, now);
    }

    /// Returns whether the request `fingerprint` must be refused.
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.block_left(fingerprint, now).is_some()
    }

    /// Returns for how long the request `fingerprint` must be refused, or `None` if it need not.
    pub fn block_left(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        if self.crashes(fingerprint, now) < CRASH_LIMIT {
            return None;
        }
        let suspect = self.suspects.get(&fingerprint)?;
        let until = suspect.latest()? + self.block_time(fingerprint, suspect);
        (now < until).then(|| until.since(now))
    }

    /// Returns whether servers crashed under the request `fingerprint` and it has been refused for
    /// long enough, so that it may be tried again.
    pub fn is_on_trial(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes(fingerprint, now) >= CRASH_LIMIT && !self.is_blocked(fingerprint, now)
    }

    /// Returns whether a complete response to the suspected request is known that is later than all
    /// of its crashes.
    pub fn refutes(&self, suspicion: &Suspicion, now: Instant) -> bool {
        let latest = suspicion.crashes.iter().map(|crash| crash.age).min();
        latest.is_some_and(|age| {
            self.completions
                .has_since(suspicion.fingerprint, now.before(age))
        })
    }

    /// Returns how long a request is refused after its latest crash.
    fn block_time(&self, fingerprint: Fingerprint, suspect: &Suspect) -> Duration {
        let earliest = suspect.earliest();
        if !earliest.is_some_and(|at| self.completions.has_recent(fingerprint, at)) {
            return self.retention;
        }
        let time = probation(suspect).min(self.retention);
        time.mul_f64(self.stagger).min(self.retention)
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
        let suspect = self.suspects.get(&fingerprint);
        let incidents = suspect.map(Suspect::incidents).unwrap_or_default().iter();
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
            Some(found) if found.latest().is_some_and(|at| now < at + self.retention) => {
                found.incidents().len()
            }
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

/// Returns for how long a request that servers have completed before is refused, without the stagger.
fn probation(suspect: &Suspect) -> Duration {
    let factor = PROBATION_GROWTH.saturating_pow(suspect.failed_trials());
    FIRST_PROBATION.saturating_mul(factor)
}
