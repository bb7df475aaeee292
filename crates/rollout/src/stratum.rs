//! Answers of one period in one data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::counts::Counts;
use crate::tally::Tally;

/// The shortest period.
const SHORTEST: Duration = Duration::from_secs(1);

/// The longest period, for routes with few calls.
const LONGEST: Duration = Duration::from_secs(30);

/// The calls of each version for which a period need not be prolonged.
const ENOUGH_CALLS: u64 = 4;

/// Answers of one period in one data centre.
///
/// A fault that both versions share comes and goes with time and place. Within a stratum it makes
/// the answers of both versions bad, and so tells nothing against the new one.
#[derive(Clone, Debug)]
pub(crate) struct Stratum {
    opened: Instant,
    /// From which latency on an answer is slow. Fixed when the stratum opens, so that the answers in
    /// it have no influence on it.
    limit: Option<Duration>,
    pub(crate) old: Counts,
    pub(crate) new: BTreeMap<id::Server, Counts>,
}

impl Stratum {
    /// Opens a stratum in which answers of `limit` or longer are slow.
    pub(crate) fn open(limit: Option<Duration>, now: Instant) -> Self {
        Self {
            opened: now,
            limit,
            old: Counts::default(),
            new: BTreeMap::new(),
        }
    }

    /// Counts answers of the old version.
    pub(crate) fn observe_old(&mut self, tally: &Tally) {
        self.old += count(tally, self.limit);
    }

    /// Counts answers of `server`, which runs the new version.
    pub(crate) fn observe_new(&mut self, server: &id::Server, tally: &Tally) {
        *self.new.entry(server.clone()).or_default() += count(tally, self.limit);
    }

    /// Returns the counts of the new version.
    pub(crate) fn new_total(&self) -> Counts {
        let mut total = Counts::default();
        self.new.values().for_each(|counts| total += *counts);
        total
    }

    /// Returns whether the period ends. That depends on the numbers of calls, never on how they ended.
    pub(crate) fn is_over(&self, alone: bool, now: Instant) -> bool {
        let age = now - self.opened;
        let old_enough = alone || self.old.calls >= ENOUGH_CALLS;
        let enough = old_enough && self.new_total().calls >= ENOUGH_CALLS;
        age >= LONGEST || (age >= SHORTEST && enough)
    }
}

/// Returns the counts of `tally` where answers of `limit` or longer are slow.
fn count(tally: &Tally, limit: Option<Duration>) -> Counts {
    Counts {
        calls: tally.calls,
        failed: tally.failed,
        timed: limit.map_or(0, |_| tally.latencies.count()),
        slow: limit.map_or(0, |limit| tally.latencies.count_from(limit)),
    }
}
