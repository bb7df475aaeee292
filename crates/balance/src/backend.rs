//! The state of one backend server as estimated by an instance.
//!
//! The estimate combines the requests that the instances of the data centre announce, the load
//! reports of the server and the outcomes of requests. Above its *knee*, a share of its slots, a
//! server takes longer for every request.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::report::Report;
use crate::server::Server;
use crate::slowdown::Model;
use crate::warmup::Limiter;

/// The latency assumed before any request has completed.
const INITIAL_LATENCY: Duration = Duration::from_millis(200);

/// The weight of one request in the average latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// The time after which a failure counts half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The weight of one outcome in the failure share.
const FAILURE_WEIGHT: f64 = 0.3;

/// The share of its slots above which a server may slow down.
const KNEE_SHARE: f64 = 0.75;

/// The factor by which requests take longer above the knee.
const CONTENTION_FACTOR: f64 = 1.7;

/// How long an unreachable server gets no requests.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(300);

/// How long an instance's failure to reach the server counts.
const UNREACHABLE_REPORT_TTL: Duration = Duration::from_secs(1);

/// The instances that have to fail to reach a server before it counts as unreachable for all. A
/// single instance may be cut off itself.
const UNREACHABLE_QUORUM: usize = 2;

/// How a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered it successfully.
    Answered,
    /// The server answered with an error, or the connection broke.
    Failed,
    /// The server rejected it for lack of capacity and did not run it.
    Shed,
    /// The caller disconnected, or the response came too late to classify.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    requests: u32,
    updated_at: Instant,
}

/// The estimated state of one backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The server as the store lists it.
    pub server: Server,
    /// The requests in flight from each instance of the data centre, including this one.
    in_flight: HashMap<u64, InFlight>,
    /// The requests of this data centre that started since the server last answered a probe.
    started_since_probe: u32,
    /// When the requests in flight last changed, and a digest of the change.
    last_change: (Instant, u64),
    report: Option<(Report, Instant)>,
    /// The requests from other data centres at the time of the newest report.
    external_requests: f64,
    /// The average latency in seconds; also the half-life of `external_requests`.
    latency_secs: f64,
    /// The failure share as of `failures_at`.
    failures: f64,
    failures_at: Instant,
    /// When the server stops being cold.
    cold_until: Instant,
    /// Whether the server has to answer a probe before it gets requests.
    pub needs_probe: bool,
    /// Whether this instance has to probe the server itself, because it lost a connection to it.
    pub needs_local_probe: bool,
    /// Until when the server gets no requests because it could not be reached.
    unreachable_until: Instant,
    /// The instances that failed to reach the server since it last responded, and when.
    unreachable_from: HashMap<u64, Instant>,
    /// Until when the server counts as full regardless of its requests.
    full_until: Instant,
    /// Limits the requests of this instance to the server while it is cold.
    pub warmup: Limiter,
    /// When the server last sent a response, as far as known.
    heard_at: Instant,
    /// Since when the store has not listed the server, if it may still be running.
    pub missing_since: Option<Instant>,
}

impl Backend {
    /// Returns the state of `server` before any report, probe or request.
    pub fn new(server: Server, now: Instant) -> Self {
        let cold_until = now + server.warmup_left;
        Self {
            server,
            in_flight: HashMap::new(),
            started_since_probe: 0,
            last_change: (now, 0),
            report: None,
            external_requests: 0.0,
            latency_secs: INITIAL_LATENCY.as_secs_f64(),
            failures: 0.0,
            failures_at: now,
            cold_until,
            needs_probe: false,
            needs_local_probe: false,
            unreachable_until: now,
            unreachable_from: HashMap::new(),
            full_until: now,
            warmup: Limiter::new(now),
            heard_at: now,
            missing_since: None,
        }
    }

    /// Sets the number of requests in flight from `instance`. Returns how many have started.
    pub fn set_in_flight(&mut self, instance: u64, requests: u32, now: Instant) -> u32 {
        let previous = self.in_flight_from(instance);
        let started = requests.saturating_sub(previous);
        if requests != previous {
            self.last_change = (now, instance.rotate_left(requests));
            self.started_since_probe = self.started_since_probe.saturating_add(started);
        }
        if requests == 0 {
            self.in_flight.remove(&instance);
        } else {
            self.in_flight.insert(
                instance,
                InFlight {
                    requests,
                    updated_at: now,
                },
            );
        }
        started
    }

    /// Records that `instance` has no requests in flight.
    pub fn clear_in_flight(&mut self, instance: u64) {
        self.in_flight.remove(&instance);
    }

    /// Returns the number of requests in flight from `instance`.
    pub fn in_flight_from(&self, instance: u64) -> u32 {
        self.in_flight
            .get(&instance)
            .map_or(0, |entry| entry.requests)
    }

    /// Returns the requests of this data centre that started since the server last answered a
    /// probe.
    pub fn started_since_probe(&self) -> u32 {
        self.started_since_probe
    }

    /// Returns when a request last started or ended at the server, as far as known.
    pub fn changed_at(&self) -> Instant {
        self.last_change.0
    }

    /// Returns an identifier of the state since [`Self::changed_at`]. All instances compute the
    /// same one.
    pub fn state_id(&self) -> u64 {
        self.last_change.1
    }

    /// Drops the requests of instances other than `own` that were not repeated within `ttl`.
    pub fn expire_in_flight(&mut self, own: u64, ttl: Duration, now: Instant) {
        self.in_flight
            .retain(|instance, entry| *instance == own || now.since(entry.updated_at) < ttl);
    }

    /// Takes a load report that the server made at `at`. Ignores it if a newer one is known.
    pub fn record_report(&mut self, report: Report, at: Instant) {
        if self.report.is_some_and(|(_, last)| last > at) {
            return;
        }
        self.external_requests =
            (f64::from(report.requests()) - f64::from(self.centre_in_flight())).max(0.0);
        if report.running < report.slots {
            self.full_until = at;
        }
        self.report = Some((report, at));
        self.heard_at = self.heard_at.max(at);
    }

    /// Returns when the server last sent a response, as far as known, or when it was listed.
    pub fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Returns the age of the newest report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.map(|(_, at)| now.since(at))
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        const FULL_FOR: Duration = Duration::from_millis(100);
        match outcome {
            Outcome::Answered => {
                self.heard_at = now;
                self.unreachable_from.clear();
                self.update_failures(0.0, now);
            }
            Outcome::Failed => self.update_failures(1.0, now),
            Outcome::Shed => {
                self.heard_at = now;
                self.full_until = now + FULL_FOR;
                self.update_failures(1.0, now);
            }
            Outcome::Unknown => {}
        }
    }

    /// Returns the average latency of a request.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_secs)
    }

    /// Records the latency of an answered request.
    pub fn record_latency(&mut self, latency: Duration) {
        self.latency_secs += (latency.as_secs_f64() - self.latency_secs) * LATENCY_WEIGHT;
    }

    fn update_failures(&mut self, failed: f64, now: Instant) {
        let decayed = self.failure_share(now);
        self.failures = decayed + (failed - decayed) * FAILURE_WEIGHT;
        self.failures_at = now;
    }

    /// Returns the share of recent requests that failed. Old failures count less.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures * decay(now.since(self.failures_at), FAILURE_HALF_LIFE)
    }

    /// Records that a connection broke without a response or, unless `connected`, could not be
    /// opened.
    pub fn record_connection_failure(&mut self, connected: bool, now: Instant) {
        self.require_local_probe();
        if !connected {
            self.unreachable_until = now + UNREACHABLE_BACKOFF;
        }
    }

    /// Records that `instance` could not reach the server. Once several instances could not, the
    /// server gets no requests for a while.
    pub fn record_unreachable(&mut self, instance: u64, now: Instant) {
        self.unreachable_from.insert(instance, now);
        self.unreachable_from
            .retain(|_, at| now.since(*at) < UNREACHABLE_REPORT_TTL);
        if self.unreachable_from.len() >= UNREACHABLE_QUORUM {
            self.unreachable_until = now + UNREACHABLE_BACKOFF;
        }
    }

    /// Makes this instance probe the server itself before it sends another request.
    pub fn require_local_probe(&mut self) {
        self.needs_probe = true;
        self.needs_local_probe = true;
    }

    /// Records that the server answered a probe and stays cold for `warmup_left`.
    pub fn record_probe(&mut self, warmup_left: Duration, now: Instant) {
        self.needs_probe = false;
        self.needs_local_probe = false;
        self.unreachable_until = now;
        self.unreachable_from.clear();
        self.started_since_probe = 0;
        self.heard_at = now;
        self.cold_until = now + warmup_left;
    }

    /// Requires that the server answers a probe before it gets another request.
    pub fn require_probe(&mut self) {
        self.needs_probe = true;
    }

    /// Applies an entry of the store. Ignores it if it is older than the current one, because
    /// entries may be delivered late. Returns whether the entry differs from the current one.
    pub fn update(&mut self, server: &Server, now: Instant) -> bool {
        if server.sequence < self.server.sequence {
            return false;
        }
        self.missing_since = None;
        if *server == self.server {
            return false;
        }
        if server.warmup_left != self.server.warmup_left {
            self.cold_until = self.cold_until.max(now + server.warmup_left);
        }
        self.server = server.clone();
        true
    }

    /// Returns how long the server is expected to stay cold.
    pub fn warmup_left(&self, now: Instant) -> Duration {
        self.cold_until.since(now)
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server gets no requests because it could not be reached.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        now < self.unreachable_until
    }

    /// Returns whether the server is expected to answer: it is warm, reachable, and has answered the
    /// probe that was required, if any.
    pub fn is_responsive(&self, now: Instant) -> bool {
        !self.is_cold(now) && !self.needs_probe && !self.is_unreachable(now)
    }

    /// Returns whether the newest report is at most `age` old.
    pub fn has_report_within(&self, age: Duration, now: Instant) -> bool {
        self.report_age(now).is_some_and(|reported| reported <= age)
    }

    /// Returns the number of requests in flight from this data centre.
    pub fn centre_in_flight(&self) -> u32 {
        let requests = self.in_flight.values().map(|entry| entry.requests);
        requests.fold(0, u32::saturating_add)
    }

    /// Returns the estimated number of requests at the server, from all data centres.
    pub fn estimated_requests(&self, now: Instant) -> f64 {
        let age = self.report_age(now).unwrap_or(Duration::MAX);
        f64::from(self.centre_in_flight())
            + self.external_requests * decay(age, Duration::from_secs_f64(self.latency_secs))
    }

    /// Returns the number of requests that the server runs concurrently, at least 1.
    pub fn slots(&self) -> f64 {
        let slots = self.report.map_or(self.server.slots, |(r, _)| r.slots);
        f64::from(slots.max(1))
    }

    /// Returns whether one more request would slow down those that are running.
    pub fn is_at_knee(&self, now: Instant) -> bool {
        self.estimated_requests(now) + 1.0 > (self.slots() * KNEE_SHARE).max(1.0) + 0.3
    }

    /// Returns whether the server would complete fewer requests a second with one more.
    ///
    /// Beyond its knee it takes longer for each, but runs one more at a time. A server of two slots
    /// gains by the second one, a larger one loses by its last.
    pub fn is_saturated(&self, now: Instant) -> bool {
        if !self.is_at_knee(now) {
            return false;
        }
        let below_knee = (self.slots() * KNEE_SHARE).max(1.0).floor();
        (below_knee + 1.0).min(self.slots()) / CONTENTION_FACTOR <= below_knee || self.is_full(now)
    }

    /// Returns whether one more request would have to queue at the server.
    pub fn is_full(&self, now: Instant) -> bool {
        now < self.full_until || self.estimated_requests(now) + 1.0 > self.slots() + 0.5
    }

    /// Returns the newest load report and when it was made.
    pub fn newest_report(&self) -> Option<(Report, Instant)> {
        self.report
    }

    /// Returns how many requests the server can run concurrently without slowing down, scaled to a
    /// server of normal speed. Uses the average speed because the current one changes constantly.
    pub fn capacity(&self, model: &Model) -> f64 {
        self.slots() * KNEE_SHARE * model.mean_speed()
    }

    /// Returns the slowdown factor expected of the server now.
    fn expected_slowdown(&self, model: &Model, now: Instant) -> f64 {
        let age = self.report_age(now).unwrap_or(Duration::MAX).as_secs_f64();
        self.report.map_or(model.mean(), |(report, _)| {
            model.predict(crate::slowdown::factor(&report), age)
        })
    }

    /// Returns how many more requests the server can take below its knee.
    pub fn headroom(&self, now: Instant) -> f64 {
        if now < self.full_until {
            return 0.0;
        }
        (self.slots() * KNEE_SHARE - self.estimated_requests(now)).max(0.0)
    }

    /// Returns how long one more request of `work` is expected to take.
    pub fn expected_duration(&self, work: Duration, model: &Model, now: Instant) -> Duration {
        let slowdown = self.expected_slowdown(model, now);
        let slots = self.slots();
        let requests = self.estimated_requests(now) + 1.0;
        let contention = if self.is_at_knee(now) {
            CONTENTION_FACTOR
        } else {
            1.0
        };
        let queueing = 1.0 + (requests - slots).max(0.0) / slots;
        let work = work.as_secs_f64() * contention * queueing;
        Duration::from_secs_f64(model.predicted_duration(work, slowdown))
    }

    /// Returns how much of the expected duration of `work` is due to the age of the newest report.
    pub fn staleness_penalty(&self, work: Duration, model: &Model, now: Instant) -> Duration {
        let work = work.as_secs_f64();
        let Some((report, at)) = self.report else {
            return Duration::from_secs_f64(work * (model.mean() - 1.0).max(0.0));
        };
        let reported = crate::slowdown::factor(&report);
        let expected = model.predict(reported, now.since(at).as_secs_f64());
        let penalty = model.predicted_duration(work, expected)
            - model.predicted_duration(work, reported.min(expected));
        Duration::from_secs_f64(penalty.max(0.0))
    }

    /// Returns the delay that one more request causes to running requests, as a multiple of its own
    /// duration.
    pub fn contention_cost(&self, now: Instant) -> f64 {
        // On average, a running request has half of its work left.
        const WORK_LEFT: f64 = 0.5;
        if self.is_at_knee(now) {
            (CONTENTION_FACTOR - 1.0) * self.estimated_requests(now) * WORK_LEFT
        } else {
            0.0
        }
    }
}

/// Returns the weight of a value of the given age, which halves with each `half_life`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
