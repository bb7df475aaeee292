//! What is usual for each route of the service in the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::id;

use crate::feedback::{Feedback, Outcome};
use crate::server::baseline::Baseline;

/// The routes that are told apart. Answers of further ones say nothing of latency.
const CAPACITY: usize = 256;

/// The share of failures above which a route is failing.
const FAILING: f64 = 0.5;

/// The weight of one attempt in the share of failures.
const WEIGHT: f64 = 1.0 / 32.0;

/// What is usual for one route.
#[derive(Debug, Default)]
struct Usual {
    baseline: Option<Baseline>,
    failures: f64,
}

/// What is usual for each route of the service in the pool.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    usual: BTreeMap<id::Route, Usual>,
}

impl Routes {
    /// Returns `latency` in units of what is usual for `route` at warm servers, if that is known.
    pub(crate) fn ratio(&self, route: &id::Route, latency: Duration) -> Option<f64> {
        let baseline = self.usual.get(route)?.baseline?;
        Some(baseline.ratio(latency))
    }

    /// Returns whether most attempts of `route` fail, so that a failure says nothing of its server.
    pub(crate) fn is_failing(&self, route: &id::Route) -> bool {
        self.usual.get(route).is_some_and(|u| u.failures > FAILING)
    }

    /// Counts an attempt at a server that is cold or not.
    pub(crate) fn observe(&mut self, feedback: &Feedback, cold: bool) {
        let Some(usual) = self.entry(&feedback.route) else {
            return;
        };
        match feedback.outcome {
            Outcome::Answered => {
                usual.answer(feedback.latency, cold);
                usual.failures -= usual.failures * WEIGHT;
            }
            Outcome::Failed | Outcome::TimedOut => {
                usual.failures += (1.0 - usual.failures) * WEIGHT;
            }
            _ => (),
        }
    }

    fn entry(&mut self, route: &id::Route) -> Option<&mut Usual> {
        if !self.usual.contains_key(route) {
            if self.usual.len() == CAPACITY {
                return None;
            }
            self.usual.insert(route.clone(), Usual::default());
        }
        self.usual.get_mut(route)
    }
}

impl Usual {
    fn answer(&mut self, latency: Duration, cold: bool) {
        match &mut self.baseline {
            Some(baseline) => baseline.observe(latency, cold),
            None if cold => (),
            None => self.baseline = Some(Baseline::new(latency)),
        }
    }
}
