//! Average service time of each route.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

/// The weight of one response in the moving average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// The service time assumed before the first response, as a fraction of the latency objective.
const INITIAL_FRACTION: f64 = 0.33;

/// The average service time by route, in seconds, normalised to a server of normal speed.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(Mutex<HashMap<String, f64>>);

impl ServiceTimes {
    /// Returns the service time of `route` at normal speed.
    pub(crate) fn expected(&self, route: &str, objective: Duration) -> Duration {
        let known = self.0.lock().get(route).copied();
        Duration::from_secs_f64(known.unwrap_or(objective.as_secs_f64() * INITIAL_FRACTION))
    }

    /// Records a response on `route` that took `time` on a server `factor` times as slow as normal.
    pub(crate) fn record(&self, route: &str, objective: Duration, time: Duration, factor: f64) {
        let normalised = time.as_secs_f64() / factor.max(1.0);
        let mut known = self.0.lock();
        let first = objective.as_secs_f64() * INITIAL_FRACTION;
        let average = known.entry(route.to_owned()).or_insert(first);
        *average += (normalised - *average) * AVERAGE_WEIGHT;
    }
}
