//! Latency baseline and failure rate of each route of the service in the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::id;

use crate::feedback::{Feedback, Outcome};
use crate::server::baseline::Baseline;

/// Maximum number of tracked routes. Responses of other routes have no latency baseline.
const MAX_ROUTES: usize = 256;

/// Failure rate above which a route is considered failing.
const FAILING_RATIO: f64 = 0.5;

/// Weight of one attempt in the moving average of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 32.0;

/// Latency baseline and failure rate of one route.
#[derive(Debug, Default)]
struct Stats {
    baseline: Option<Baseline>,
    failures: f64,
}

/// Latency baseline and failure rate of each route of the service in the pool.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    stats: BTreeMap<id::Route, Stats>,
}

impl Routes {
    /// Returns the ratio of `latency` to the baseline of `route` at warm servers, if there is one.
    pub(crate) fn ratio(&self, route: &id::Route, latency: Duration) -> Option<f64> {
        let baseline = self.stats.get(route)?.baseline?;
        Some(baseline.ratio(latency))
    }

    /// Returns whether most attempts of `route` fail, so that a failure does not indicate a fault
    /// of the server.
    pub(crate) fn is_failing(&self, route: &id::Route) -> bool {
        self.stats
            .get(route)
            .is_some_and(|s| s.failures > FAILING_RATIO)
    }

    /// Records the outcome of an attempt at a cold or warm server.
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
