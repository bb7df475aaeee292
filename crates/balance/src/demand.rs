//! The work that callers ask for, by service.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;

/// The time over which work is averaged: short enough to follow a burst, and long enough that the
/// requests of one instance do not look like bursts.
const AVERAGED_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Level {
    /// Seconds of work a second.
    work: f64,
    at: Instant,
}

impl Level {
    fn at(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.work * (-age / AVERAGED_TIME.as_secs_f64()).exp()
    }
}

/// The work that the callers of one instance ask for, by service, as an average that decays.
#[derive(Debug, Default)]
pub struct Demand(BTreeMap<String, Level>);

impl Demand {
    /// Notes a request that brings `work`, counted on a server of the usual pace.
    pub fn record(&mut self, service: &str, work: Duration, now: Instant) {
        let level = self.0.get(service).map_or(0.0, |level| level.at(now));
        let work = level + work.as_secs_f64() / AVERAGED_TIME.as_secs_f64();
        self.0.insert(service.to_owned(), Level { work, at: now });
    }

    /// Returns the seconds of work that are asked for in a second, by service: the requests that
    /// run at a time where servers have the usual pace.
    pub fn offered_load(&self, now: Instant) -> Vec<(String, f64)> {
        let levels = self.0.iter().map(|(s, level)| (s.clone(), level.at(now)));
        levels.collect()
    }
}
