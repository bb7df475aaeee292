//! Responses of one period in one data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::counts::Counts;
use crate::tally::Tally;

/// The shortest period.
const MIN_PERIOD: Duration = Duration::from_secs(1);

/// The longest period, for routes with few calls.
const MAX_PERIOD: Duration = Duration::from_secs(30);

/// The calls of each version with which a period ends after [`MIN_PERIOD`].
const ENOUGH_CALLS: u64 = 4;

/// Responses of one period in one data centre.
///
/// A fault that is not caused by a version varies with time and place. Within a stratum it makes
/// responses of both versions bad, so it is no evidence against the new version.
#[derive(Clone, Debug)]
pub(crate) struct Stratum {
    opened: Instant,
    /// The latency from which on a response is slow. Fixed when the stratum opens, so that its own
    /// responses have no influence on it.
    slow_limit: Option<Duration>,
    pub(crate) old: Counts,
    pub(crate) new: BTreeMap<id::Server, Counts>,
}

impl Stratum {
    /// Opens a stratum in which responses of `slow_limit` or longer are slow.
    pub(crate) fn open(slow_limit: Option<Duration>, now: Instant) -> Self {
        Self {
            opened: now,
            slow_limit,
            old: Counts::default(),
            new: BTreeMap::new(),
        }
    }

    /// Counts responses of the old version.
    pub(crate) fn observe_old(&mut self, tally: &Tally) {
        self.old += count(tally, self.slow_limit);
    }

    /// Counts responses of `server`, which runs the new version.
    pub(crate) fn observe_new(&mut self, server: &id::Server, tally: &Tally) {
        *self.new.entry(server.clone()).or_default() += count(tally, self.slow_limit);
    }

    /// Returns the counts of the new version over all servers.
    pub(crate) fn new_total(&self) -> Counts {
        let mut total = Counts::default();
        self.new.values().for_each(|counts| total += *counts);
        total
    }

    /// Returns whether the period ends. This depends on the numbers of calls, never on their
    /// outcomes, which would bias the test. `alone` states that the new version carries all
    /// traffic.
    pub(crate) fn is_over(&self, alone: bool, now: Instant) -> bool {
        let age = now - self.opened;
        let old_enough = alone || self.old.calls >= ENOUGH_CALLS;
        let enough = old_enough && self.new_total().calls >= ENOUGH_CALLS;
        age >= MAX_PERIOD || (age >= MIN_PERIOD && enough)
    }
}

/// Returns the counts of `tally`, in which responses of `slow_limit` or longer are slow.
fn count(tally: &Tally, slow_limit: Option<Duration>) -> Counts {
    Counts {
        calls: tally.calls,
        failed: tally.failed,
        timed: slow_limit.map_or(0, |_| tally.latencies.count()),
        slow: slow_limit.map_or(0, |limit| tally.latencies.count_from(limit)),
    }
}
