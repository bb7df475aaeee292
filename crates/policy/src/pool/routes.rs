//! The usual latency of each route of the service in the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::id;

use crate::server::pace::Baseline;

/// The routes that are told apart. Answers of further ones say nothing of latency.
const CAPACITY: usize = 256;

/// The usual latency of each route of the service in the pool.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    baselines: BTreeMap<id::Route, Baseline>,
}

impl Routes {
    /// Returns `latency` in units of what is usual for `route`, and 1 for an unknown route.
    pub(crate) fn ratio(&self, route: &id::Route, latency: Duration) -> f64 {
        let baseline = self.baselines.get(route);
        baseline.map_or(1.0, |b| b.ratio(latency))
    }

    /// Counts an answer.
    pub(crate) fn observe(&mut self, route: &id::Route, latency: Duration) {
        if let Some(baseline) = self.baselines.get_mut(route) {
            baseline.observe(latency);
        } else if self.baselines.len() < CAPACITY {
            self.baselines.insert(route.clone(), Baseline::new(latency));
        }
    }
}
