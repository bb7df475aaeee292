//! What an instance believes of one backend server.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::report::Report;
use crate::server::Server;
use crate::slowdown::Model;
use crate::warmup::Limiter;

/// How long a request takes before any has been seen.
const FIRST_TIME: Duration = Duration::from_millis(200);

/// The weight of one request in the average of how long they take.
const TIME_WEIGHT: f64 = 0.1;

/// How long a failure counts half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The weight of one answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.3;

/// How long what another instance said of its requests is believed without being repeated.
const HELD_FOR: Duration = Duration::from_secs(2);

/// The part of its slots above which a server may slow down.
const KNEE: f64 = 0.75;

/// How much longer work takes above the knee.
const KNEE_FACTOR: f64 = 1.7;

/// The pause before a server that could not be reached is tried again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);

/// How long an instance counts that could not reach the server.
const UNREACHED_FOR: Duration = Duration::from_secs(1);

/// The instances that have to find a server out of reach before others stay away from it. One alone
/// may be cut off itself.
const UNREACHED_BY: usize = 2;

/// How a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It failed, by an answer that says so or a broken connection.
    Failed,
    /// The server had no room for it and did not run it.
    Shed,
    /// The caller left, or the answer came too late to tell.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    requests: u32,
    at: Instant,
}

/// What an instance believes of one backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The server as the store lists it.
    pub server: Server,
    /// The requests of each instance of the data centre, this one included.
    held: HashMap<u64, Held>,
    /// The requests of this data centre that began since the server last answered a probe.
    begun: u32,
    /// When a request last began or ended, and whose it was.
    changed: (Instant, u64),
    report: Option<(Report, Instant)>,
    /// Requests of other data centres when the last report was made.
    foreign: f64,
    /// How long requests take, in seconds. So long do those of others stay half of those reported.
    time: f64,
    failures: f64,
    failed_at: Instant,
    /// Until when the server is cold.
    cold_until: Instant,
    /// Whether the server has to answer a probe before it gets requests.
    pub needs_probe: bool,
    /// Whether this instance has to probe it itself, as it lost a connection to it.
    pub needs_local_probe: bool,
    /// Until when the server is not tried, as it could not be reached.
    unreachable_until: Instant,
    /// The instances that could not reach the server since another one could.
    unreached_by: HashMap<u64, Instant>,
    /// Until when the server is taken for full.
    full_until: Instant,
    /// The rate at which this instance feeds the server while it is cold.
    pub warmup: Limiter,
    /// Since when the store has not listed the server although it may live.
    pub missing_since: Option<Instant>,
}

impl Backend {
    /// Returns what is believed of `server` before anything was heard of it.
    pub fn new(server: Server, now: Instant) -> Self {
        let cold_until = now + server.warmup_left;
        Self {
            server,
            held: HashMap::new(),
            begun: 0,
            changed: (now, 0),
            report: None,
            foreign: 0.0,
            time: FIRST_TIME.as_secs_f64(),
            failures: 0.0,
            failed_at: now,
            cold_until,
            needs_probe: false,
            needs_local_probe: false,
            unreachable_until: now,
            unreached_by: HashMap::new(),
            full_until: now,
            warmup: Limiter::new(now),
            missing_since: None,
        }
    }

    /// Notes that `instance` has `requests` at the server.
    pub fn set_in_flight(&mut self, instance: u64, requests: u32, now: Instant) {
        let before = self.in_flight_from(instance);
        if requests != before {
            self.changed = (now, instance.rotate_left(requests));
            self.begun += requests.saturating_sub(before);
        }
        if requests == 0 {
            self.held.remove(&instance);
        } else {
            self.held.insert(instance, Held { requests, at: now });
        }
    }

    /// Notes that `instance` has no request at the server.
    pub fn clear_in_flight(&mut self, instance: u64) {
        self.held.remove(&instance);
    }

    /// Returns how many requests `instance` has at the server.
    pub fn in_flight_from(&self, instance: u64) -> u32 {
        self.held.get(&instance).map_or(0, |h| h.requests)
    }

    /// Returns the requests of this data centre that began since the server last answered a probe.
    pub fn started_since_probe(&self) -> u32 {
        self.begun
    }

    /// Returns when a request last began or ended there, as far as is known.
    pub fn changed_at(&self) -> Instant {
        self.changed.0
    }

    /// Returns what tells the state since then from others, in the same way at all instances.
    pub fn state_id(&self) -> u64 {
        self.changed.1
    }

    /// Forgets what others than `me` have not repeated lately.
    pub fn expire_in_flight(&mut self, me: u64, now: Instant) {
        self.held
            .retain(|who, held| *who == me || now.since(held.at) < HELD_FOR);
    }

    /// Notes what the server said of its load at `at`.
    pub fn record_report(&mut self, report: Report, at: Instant) {
        if self.report.is_some_and(|(_, last)| last > at) {
            return;
        }
        self.foreign = (f64::from(report.requests()) - f64::from(self.centre_in_flight())).max(0.0);
        if report.running < report.slots {
            self.full_until = at;
        }
        self.report = Some((report, at));
    }

    /// Returns the age of the newest report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report.map(|(_, at)| now.since(at))
    }

    /// Notes how a request ended.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        const FULL_FOR: Duration = Duration::from_millis(100);
        match outcome {
            Outcome::Answered => {
                self.unreached_by.clear();
                self.fail(0.0, now);
            }
            Outcome::Failed => self.fail(1.0, now),
            Outcome::Shed => {
                self.full_until = now + FULL_FOR;
                self.fail(1.0, now);
            }
            Outcome::Unknown => {}
        }
    }

    /// Notes that a request took `time`.
    pub fn record_latency(&mut self, time: Duration) {
        self.time += (time.as_secs_f64() - self.time) * TIME_WEIGHT;
    }

    fn fail(&mut self, failed: f64, now: Instant) {
        let decayed = self.failure_share(now);
        self.failures = decayed + (failed - decayed) * FAILURE_WEIGHT;
        self.failed_at = now;
    }

    /// Returns the share of late requests that failed, counting old ones less.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures * decay(now.since(self.failed_at), FAILURE_HALF_LIFE)
    }

    /// Notes that no connection could be opened, or that one broke without an answer.
    pub fn record_connection_failure(&mut self, reached: bool, now: Instant) {
        self.require_local_probe();
        if !reached {
            self.unreachable_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// Notes that `instance` could not reach the server. Nobody tries it for a while once several
    /// could not.
    pub fn record_unreachable(&mut self, instance: u64, now: Instant) {
        self.unreached_by.insert(instance, now);
        self.unreached_by
            .retain(|_, at| now.since(*at) < UNREACHED_FOR);
        if self.unreached_by.len() >= UNREACHED_BY {
            self.unreachable_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// Has this instance probe the server itself, before it sends it a request.
    pub fn require_local_probe(&mut self) {
        self.needs_probe = true;
        self.needs_local_probe = true;
    }

    /// Notes that the server answered a probe, and how long it says to stay cold.
    pub fn record_probe(&mut self, warmup_left: Duration, now: Instant) {
        self.needs_probe = false;
        self.needs_local_probe = false;
        self.unreachable_until = now;
        self.unreached_by.clear();
        self.begun = 0;
        self.cold_until = now + warmup_left;
    }

    /// Has the server probed before it gets a request.
    pub fn require_probe(&mut self) {
        self.needs_probe = true;
    }

    /// Takes an entry of the store, unless it is older than the present one: what a server wrote may
    /// arrive late.
    pub fn update(&mut self, server: &Server, now: Instant) {
        if server.sequence < self.server.sequence {
            return;
        }
        if server.warmup_left != self.server.warmup_left {
            self.cold_until = self.cold_until.max(now + server.warmup_left);
        }
        self.server = server.clone();
        self.missing_since = None;
    }

    /// Returns how long the server is believed to stay cold.
    pub fn warmup_left(&self, now: Instant) -> Duration {
        self.cold_until.since(now)
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server may not be tried now.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        now < self.unreachable_until
    }

    /// Returns the number of requests of this data centre at the server.
    pub fn centre_in_flight(&self) -> u32 {
        self.held.values().map(|h| h.requests).sum()
    }

    /// Returns the number of requests that are believed to be at the server.
    pub fn estimated_requests(&self, now: Instant) -> f64 {
        let age = self.report_age(now).unwrap_or(Duration::MAX);
        f64::from(self.centre_in_flight())
            + self.foreign * decay(age, Duration::from_secs_f64(self.time))
    }

    /// Returns the number of requests that can run at a time.
    pub fn slots(&self) -> f64 {
        let slots = self.report.map_or(self.server.slots, |(r, _)| r.slots);
        f64::from(slots.max(1))
    }

    /// Returns whether one more request would slow down those that run.
    pub fn is_at_knee(&self, now: Instant) -> bool {
        self.estimated_requests(now) + 1.0 > (self.slots() * KNEE).max(1.0) + 0.3
    }

    /// Returns whether one more request would not run at once.
    pub fn is_full(&self, now: Instant) -> bool {
        now < self.full_until || self.estimated_requests(now) + 1.0 > self.slots() + 0.5
    }

    /// Returns the newest report and when it was made.
    pub fn newest_report(&self) -> Option<(Report, Instant)> {
        self.report
    }

    /// Returns the requests that the server runs at a time without slowing down, counted on a server
    /// of the usual pace. What it does on average counts, as its pace changes all the time.
    pub fn capacity(&self, pace: &Model) -> f64 {
        self.slots() * KNEE * pace.mean_speed()
    }

    /// Returns the pace that is expected of the server now.
    fn pace(&self, pace: &Model, now: Instant) -> f64 {
        let age = self.report_age(now).unwrap_or(Duration::MAX).as_secs_f64();
        self.report.map_or(pace.mean(), |(report, _)| {
            pace.predict(crate::slowdown::factor(&report), age)
        })
    }

    /// Returns how many more requests the server has room for.
    pub fn headroom(&self, now: Instant) -> f64 {
        if now < self.full_until {
            return 0.0;
        }
        (self.slots() * KNEE - self.estimated_requests(now)).max(0.0)
    }

    /// Returns how long `work` is expected to take that one more request brings.
    pub fn expected_duration(&self, work: Duration, pace: &Model, now: Instant) -> Duration {
        let present = self.pace(pace, now);
        let slots = self.slots();
        let requests = self.estimated_requests(now) + 1.0;
        let slowed = if self.is_at_knee(now) {
            KNEE_FACTOR
        } else {
            1.0
        };
        let queued = 1.0 + (requests - slots).max(0.0) / slots;
        let work = work.as_secs_f64() * slowed * queued;
        Duration::from_secs_f64(pace.predicted_duration(work, present))
    }

    /// Returns how much of the time that `work` takes is due to the age of the newest report.
    pub fn staleness_penalty(&self, work: Duration, pace: &Model, now: Instant) -> Duration {
        let work = work.as_secs_f64();
        let Some((report, at)) = self.report else {
            return Duration::from_secs_f64(work * (pace.mean() - 1.0).max(0.0));
        };
        let last = crate::slowdown::factor(&report);
        let present = pace.predict(last, now.since(at).as_secs_f64());
        let more = pace.predicted_duration(work, present)
            - pace.predicted_duration(work, last.min(present));
        Duration::from_secs_f64(more.max(0.0))
    }

    /// Returns how much time one more request costs those that run, as a share of its own.
    pub fn contention_cost(&self, now: Instant) -> f64 {
        // On average they have half of their work left.
        const LEFT: f64 = 0.5;
        if self.is_at_knee(now) {
            (KNEE_FACTOR - 1.0) * self.estimated_requests(now) * LEFT
        } else {
            0.0
        }
    }
}

/// Returns what is left of 1 after `age`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
