//! The share of a service's retry budget that one instance may spend.
//!
//! In any window, the fleet may retry a ratio of a service's requests plus a fixed slack. Each
//! instance retries at most that ratio of the requests that it received itself, plus its share of
//! the slack. The sum over any set of instances is then within the bound of the fleet, even if they
//! cannot communicate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use clock::Instant;

/// The bound of the whole fleet on the retries of each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio in any window, for all instances together.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The share of the ratio that is used. The rest covers requests that leave the window before their
/// retries do.
const RATIO_SHARE: f64 = 0.8;

/// The share of the budget that requests which have not failed may use.
const HEDGE_SHARE: f64 = 0.6;

#[derive(Debug, Default)]
struct History {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// The retry budget of one instance, by service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    instances: usize,
    histories: HashMap<String, History>,
}

impl Budget {
    /// Returns one instance's part of a budget that `instances` instances share.
    pub fn new(bound: Bound, instances: usize) -> Self {
        Self {
            bound,
            instances,
            histories: HashMap::new(),
        }
    }

    /// Records how many instances share the budget. The highest number seen counts, so that
    /// instances that are currently out of contact keep their share.
    pub fn observe_instances(&mut self, instances: usize) {
        self.instances = self.instances.max(instances);
    }

    /// Records a caller's request for `service`.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let cutoff = now.before(self.bound.window);
        let history = self.histories.entry(service.to_owned()).or_default();
        remove_expired(&mut history.requests, cutoff);
        history.requests.push_back(now);
    }

    /// Returns how many retries of requests for `service` are left in the current window.
    pub fn retries_left(&mut self, service: &str, now: Instant) -> f64 {
        let (spent, allowed) = self.usage(service, now);
        (allowed - spent).max(0.0)
    }

    /// Returns whether a retry may be sent to `service`, and counts it if so.
    pub fn try_retry(&mut self, service: &str, now: Instant) -> bool {
        self.try_spend(service, 1.0, now)
    }

    /// Returns whether a request that has not failed may be sent to a second server of `service`,
    /// and counts it as a retry if so. Part of the budget is left to requests that failed.
    pub fn try_hedge(&mut self, service: &str, now: Instant) -> bool {
        self.try_spend(service, HEDGE_SHARE, now)
    }

    /// Counts a retry if no more than `fraction` of the budget is spent with it.
    fn try_spend(&mut self, service: &str, fraction: f64, now: Instant) -> bool {
        let (spent, allowed) = self.usage(service, now);
        if spent + 1.0 > allowed * fraction {
            return false;
        }
        let history = self.histories.entry(service.to_owned()).or_default();
        history.retries.push_back(now);
        true
    }

    /// Returns the number of retries in the current window, and how many are allowed.
    fn usage(&mut self, service: &str, now: Instant) -> (f64, f64) {
        let cutoff = now.before(self.bound.window);
        // A share is a whole number of retries, and may be 0 in a large fleet.
        let share = (self.bound.slack / self.instances.max(1) as f64).floor();
        let history = self.histories.entry(service.to_owned()).or_default();
        remove_expired(&mut history.requests, cutoff);
        remove_expired(&mut history.retries, cutoff);
        let allowed = share + RATIO_SHARE * self.bound.ratio * history.requests.len() as f64;
        (history.retries.len() as f64, allowed)
    }
}

fn remove_expired(times: &mut VecDeque<Instant>, cutoff: Instant) {
    while times.front().is_some_and(|t| *t < cutoff) {
        times.pop_front();
    }
}
