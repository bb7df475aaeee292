//! The offered load of the callers of one instance, by service.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;

/// The time constant of the average: short enough to follow a burst, and long enough that the
/// requests of one instance do not look like bursts.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Average {
    /// Seconds of work per second, as of `at`.
    load: f64,
    at: Instant,
}

impl Average {
    fn at(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.load * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// The offered load of the callers of one instance, by service, as an exponential moving average.
#[derive(Debug, Default)]
pub struct Demand(BTreeMap<String, Average>);

impl Demand {
    /// Records a request of `work`, as its duration on a server of normal speed.
    pub fn record(&mut self, service: &str, work: Duration, now: Instant) {
        let current = self.0.get(service).map_or(0.0, |average| average.at(now));
        let load = current + work.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.0.insert(service.to_owned(), Average { load, at: now });
    }

    /// Returns the offered load in seconds of work per second, by service. This is the number of
    /// concurrent requests on servers of normal speed.
    pub fn offered_load(&self, now: Instant) -> Vec<(String, f64)> {
        let loads = self
            .0
            .iter()
            .map(|(s, average)| (s.clone(), average.at(now)));
        loads.collect()
    }
}
