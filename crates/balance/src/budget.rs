//! The share of a service's retry budget that one instance may spend alone.
//!
//! The fleet may retry a part of a service's requests in any window, and a few more. Each instance
//! retries at most that part of the requests that it took itself, and its share of the few. The sum
//! over any instances, in touch or not, is then within the fleet's bound.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use clock::Instant;

/// The bound that the fleet keeps for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries a request.
    pub ratio: f64,
    /// Retries beyond the ratio in any window, of all instances together.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// The part of the ratio that is used. The rest covers requests that leave the window sooner than
/// their retries.
const RATIO_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct Ledger {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// The retries of one instance, by service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    instances: usize,
    ledgers: HashMap<String, Ledger>,
}

impl Budget {
    /// Returns a budget that is shared by `instances`.
    pub fn new(bound: Bound, instances: usize) -> Self {
        Self {
            bound,
            instances,
            ledgers: HashMap::new(),
        }
    }

    /// Notes how many instances share the budget. The highest number seen counts, so that those
    /// that cannot be heard keep their share.
    pub fn observe_instances(&mut self, instances: usize) {
        self.instances = self.instances.max(instances);
    }

    /// Notes a caller's request for `service`.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let horizon = now.before(self.bound.window);
        let ledger = self.ledgers.entry(service.to_owned()).or_default();
        forget(&mut ledger.requests, horizon);
        ledger.requests.push_back(now);
    }

    /// Returns whether a retry may be sent to `service`, and counts it if so.
    pub fn try_retry(&mut self, service: &str, now: Instant) -> bool {
        let horizon = now.before(self.bound.window);
        // A share is a whole number of retries; a large fleet's smallest share is none.
        let share = (self.bound.slack / self.instances.max(1) as f64).floor();
        let ledger = self.ledgers.entry(service.to_owned()).or_default();
        forget(&mut ledger.requests, horizon);
        forget(&mut ledger.retries, horizon);
        let allowed = share + RATIO_SHARE * self.bound.ratio * ledger.requests.len() as f64;
        if (ledger.retries.len() + 1) as f64 > allowed {
            return false;
        }
        ledger.retries.push_back(now);
        true
    }
}

fn forget(times: &mut VecDeque<Instant>, horizon: Instant) {
    while times.front().is_some_and(|t| *t < horizon) {
        times.pop_front();
    }
}
