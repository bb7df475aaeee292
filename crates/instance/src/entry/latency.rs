//! The usual latency of routes.

use std::collections::HashMap;
use std::time::Duration;

use contract::id;
use parking_lot::Mutex;

/// The routes that are told apart.
const CAPACITY: usize = 10_000;

/// One answer weighs one part in so many, as for the smoothed round-trip time of RFC 6298.
const WEIGHT: u32 = 8;

/// The usual latency of routes, as an exponentially weighted mean of whole answers.
///
/// A call that has less time left than its route usually takes is not dispatched: it would use a
/// slot for an answer that comes too late, and a call that must not repeat would end as unknown.
#[derive(Debug, Default)]
pub(crate) struct Latencies {
    means: Mutex<HashMap<(id::Service, id::Route), Duration>>,
}

impl Latencies {
    /// Takes in the latency of a whole answer.
    pub(crate) fn observe(&self, service: &id::Service, route: &id::Route, latency: Duration) {
        let mut means = self.means.lock();
        let key = (service.clone(), route.clone());
        if let Some(mean) = means.get_mut(&key) {
            *mean = *mean - *mean / WEIGHT + latency / WEIGHT;
        } else if means.len() < CAPACITY {
            means.insert(key, latency);
        }
    }

    /// Returns the usual latency of a route, or zero before its first answer.
    pub(crate) fn mean(&self, service: &id::Service, route: &id::Route) -> Duration {
        let key = (service.clone(), route.clone());
        self.means.lock().get(&key).copied().unwrap_or_default()
    }
}
