//! What is usual for each route of the service in the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::id;

use crate::feedback::{Feedback, Outcome};
use crate::server::baseline::Baseline;

/// The routes that are told apart. Answers of further ones say nothing of latency.
const MAX_ROUTES: usize = 256;

/// The share of failures above which a route is failing.
const FAILING_RATIO: f64 = 0.5;

/// The weight of one attempt in the share of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 32.0;

/// What is usual for one route.
#[derive(Debug, Default)]
struct Stats {
    baseline: Option<Baseline>,
    failures: f64,
}

/// What is usual for each route of the service in the pool.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    stats: BTreeMap<id::Route, Stats>,
}

impl Routes {
    /// Returns `latency` in units of what is usual for `route` at warm servers, if that is known.
    pub(crate) fn ratio(&self, route: &id::Route, latency: Duration) -> Option<f64> {
        let baseline = self.stats.get(route)?.baseline?;
        Some(baseline.ratio(latency))
    }

    /// Returns whether most attempts of `route` fail, so that a failure says nothing of its server.
    pub(crate) fn is_failing(&self, route: &id::Route) -> bool {
        self.stats
            .get(route)
            .is_some_and(|u| u.failures > FAILING_RATIO)
    }

    /// Counts an attempt at a server that is cold or not.
    pub(crate) fn record(&mut self, feedback: &Feedback, cold: bool) {
        let Some(stats) = self.entry(&feedback.route) else {
            return;
        };
        match feedback.outcome {
            Outcome::Answered => {
                stats.record_success(feedback.latency, cold);
                stats.failures -= stats.failures * FAILURE_WEIGHT;
            }
            Outcome::Failed | Outcome::TimedOut => {
                stats.failures += (1.0 - stats.failures) * FAILURE_WEIGHT;
            }
            _ => (),
        }
    }

    fn entry(&mut self, route: &id::Route) -> Option<&mut Stats> {
        if !self.stats.contains_key(route) {
            if self.stats.len() == MAX_ROUTES {
                return None;
            }
            self.stats.insert(route.clone(), Stats::default());
        }
        self.stats.get_mut(route)
    }
}

impl Stats {
    fn record_success(&mut self, latency: Duration, cold: bool) {
        match &mut self.baseline {
            Some(baseline) => baseline.observe(latency, cold),
            None if cold => (),
            None => self.baseline = Some(Baseline::new(latency)),
        }
    }
}
