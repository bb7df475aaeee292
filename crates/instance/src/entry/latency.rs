//! The mean latency of each route.

use std::collections::HashMap;
use std::time::Duration;

use contract::id;
use parking_lot::Mutex;

/// The number of routes that are tracked.
const CAPACITY: usize = 10_000;

/// Each response has the weight 1/8, as in the smoothed round-trip time of RFC 6298.
const WEIGHT: u32 = 8;

/// The mean latency of each route: an exponentially weighted mean over complete responses.
///
/// A call that has less time left than the mean of its route is not dispatched: it would use a slot
/// for a response that comes too late, and a call that must not repeat would have an unknown
/// outcome.
#[derive(Debug, Default)]
pub(crate) struct Latencies {
    means: Mutex<HashMap<(id::Service, id::Route), Duration>>,
}

impl Latencies {
    /// Records the latency of a complete response.
    pub(crate) fn observe(&self, service: &id::Service, route: &id::Route, latency: Duration) {
        let mut means = self.means.lock();
        let key = (service.clone(), route.clone());
        if let Some(mean) = means.get_mut(&key) {
            *mean = *mean - *mean / WEIGHT + latency / WEIGHT;
        } else if means.len() < CAPACITY {
            means.insert(key, latency);
        }
    }

    /// Returns the mean latency of a route, or zero before its first response.
    pub(crate) fn mean(&self, service: &id::Service, route: &id::Route) -> Duration {
        let key = (service.clone(), route.clone());
        self.means.lock().get(&key).copied().unwrap_or_default()
    }
}
