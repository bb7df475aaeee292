//! How long the work of each route takes.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;

/// The weight of one answer in the average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// The part of the objective that work is taken to need before any was seen.
const INITIAL_FRACTION: f64 = 0.33;

/// The average time of work by route, on a machine of the usual pace, in seconds.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes(Mutex<HashMap<String, f64>>);

impl ServiceTimes {
    /// Returns how long the work of `route` takes at the usual pace.
    pub(crate) fn expected(&self, route: &str, aim: Duration) -> Duration {
        let known = self.0.lock().get(route).copied();
        Duration::from_secs_f64(known.unwrap_or(aim.as_secs_f64() * INITIAL_FRACTION))
    }

    /// Notes that work of `route` took `time` at `factor` times the usual time.
    pub(crate) fn record(&self, route: &str, aim: Duration, time: Duration, factor: f64) {
        let normalised = time.as_secs_f64() / factor.max(1.0);
        let mut known = self.0.lock();
        let first = aim.as_secs_f64() * INITIAL_FRACTION;
        let average = known.entry(route.to_owned()).or_insert(first);
        *average += (normalised - *average) * AVERAGE_WEIGHT;
    }
}
