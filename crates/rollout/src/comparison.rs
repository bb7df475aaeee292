//! The comparison of both versions on one route.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::analysis::Analysis;
use crate::counts::Counts;
use crate::cusum::Cusum;
use crate::histogram::Histogram;
use crate::pair::Pair;
use crate::stratum::Stratum;
use crate::tally::Tally;

/// The quantile of the old version's latencies that sets the limit of slow answers.
const LIMIT_QUANTILE: f64 = 0.9;

/// The ratio of the limit of slow answers to that quantile.
const LIMIT_RATIO: f64 = 1.5;

/// The number of the old version's latencies from which a limit can be set.
const LIMIT_CALLS: u64 = 100;

/// The number of latencies at which older ones begin to weigh less.
const LATENCIES: u64 = 20_000;

/// The least reference rate of failures where nothing can be compared.
const FAILURE_FLOOR: f64 = 0.01;

/// The least reference rate of slow answers where nothing can be compared.
const SLOW_FLOOR: f64 = 0.1;

/// How long a rate that proved to be no fault of the new version raises no suspicion.
const EXCUSE_TIME: Duration = Duration::from_secs(300);

/// The comparison of both versions on one route.
#[derive(Clone, Debug)]
pub(crate) struct Comparison {
    strata: BTreeMap<id::Centre, Stratum>,
    verdict: Analysis,
    failing_alone: Cusum,
    slow_alone: Cusum,
    /// The latencies of the old version.
    latencies: Histogram,
    /// From which latency on an answer is slow.
    limit: Option<Duration>,
    total: Pair,
    /// The answers at the present share.
    level: Pair,
    /// What was last found to be no fault of the new version, and until when that counts.
    excused: Option<(Counts, Instant)>,
}

impl Comparison {
    /// Returns a comparison without evidence.
    pub(crate) fn new() -> Self {
        Self::restore(Pair::default(), None)
    }

    /// Returns a comparison that starts anew after the answers in `total`, with `limit`.
    pub(crate) fn restore(total: Pair, limit: Option<Duration>) -> Self {
        Self {
            strata: BTreeMap::new(),
            verdict: Analysis::new(),
            failing_alone: Cusum::default(),
            slow_alone: Cusum::default(),
            latencies: Histogram::default(),
            limit,
            total,
            level: Pair::default(),
            excused: None,
        }
    }

    /// Goes on with the evidence of a former lead owner, `level` being the answers at the present
    /// share.
    pub(crate) fn recall(&mut self, verdict: &Analysis, level: Pair) {
        self.verdict = verdict.clone();
        self.level = level;
    }

    /// Counts answers of the old version in `centre`.
    pub(crate) fn observe_old(&mut self, centre: &id::Centre, tally: &Tally, now: Instant) {
        self.stratum(centre, now).observe_old(tally);
        self.latencies.merge(&tally.latencies);
    }

    /// Counts answers of `server` in `centre`, which runs the new version.
    pub(crate) fn observe_new(
        &mut self,
        centre: &id::Centre,
        server: &id::Server,
        tally: &Tally,
        now: Instant,
    ) {
        self.stratum(centre, now).observe_new(server, tally);
    }

    /// Returns the open stratum of `centre`.
    fn stratum(&mut self, centre: &id::Centre, now: Instant) -> &mut Stratum {
        let limit = self.limit;
        let strata = self.strata.entry(centre.clone());
        strata.or_insert_with(|| Stratum::open(limit, now))
    }

    /// Weighs the periods that are over, here and in `pooled`. `alone` says that the new version
    /// carries all traffic.
    pub(crate) fn step(&mut self, alone: bool, pooled: &mut Analysis, now: Instant) {
        let is_over = |stratum: &Stratum| stratum.is_over(alone, now);
        let strata = std::mem::take(&mut self.strata);
        let (over, open): (Vec<_>, Vec<_>) = strata.into_iter().partition(|(_, s)| is_over(s));
        self.strata = open.into_iter().collect();
        for (_, stratum) in over {
            self.weigh(&stratum, alone, pooled, now);
        }
        self.set_limit();
    }

    /// Takes the answers of a period that is over into account.
    fn weigh(&mut self, stratum: &Stratum, alone: bool, pooled: &mut Analysis, now: Instant) {
        let (old, new) = (stratum.old, stratum.new_total());
        if alone {
            self.suspect(new, now);
        }
        self.verdict.observe(stratum);
        pooled.observe(stratum);
        self.total.add(old, new);
        self.level.add(old, new);
    }

    /// Compares answers of the new version, alone, with the old one's earlier rates.
    fn suspect(&mut self, new: Counts, now: Instant) {
        let old = self.total.old;
        let excused = self.excused.filter(|(_, until)| now < *until);
        let (failure, slow) = excused.map_or((0.0, 0.0), |(counts, _)| {
            (counts.failure_rate(), counts.slow_rate())
        });
        let failure = failure.max(old.failure_rate());
        let slow = slow.max(old.slow_rate());
        self.failing_alone
            .observe(new.calls, new.failed, failure, FAILURE_FLOOR);
        self.slow_alone
            .observe(new.timed, new.slow, slow, SLOW_FLOOR);
    }

    /// Takes what the new version shows at the present share for no fault of its own.
    pub(crate) fn excuse(&mut self, now: Instant) {
        self.excused = Some((self.level.new, now + EXCUSE_TIME));
    }

    /// Sets the limit of slow answers for the periods to come.
    fn set_limit(&mut self) {
        if self.latencies.count() < LIMIT_CALLS {
            return;
        }
        let quantile = self.latencies.quantile(LIMIT_QUANTILE);
        self.limit = quantile.map(limit_above);
        if self.latencies.count() > LATENCIES {
            self.latencies.halve();
        }
    }

    /// Returns the evidence of a fault on this route.
    pub(crate) fn verdict(&self) -> &Analysis {
        &self.verdict
    }

    /// Returns whether the new version, carrying all traffic, looks worse than the old one did.
    pub(crate) fn is_suspicious(&self) -> bool {
        self.failing_alone.is_raised() || self.slow_alone.is_raised()
    }

    /// Begins a new level: a share at which nothing is known yet.
    ///
    /// Open periods end, since a share that changes within one would make its answers unlike.
    pub(crate) fn begin_level(&mut self, pooled: &mut Analysis, now: Instant) {
        let strata = std::mem::take(&mut self.strata);
        for stratum in strata.values() {
            self.weigh(stratum, false, pooled, now);
        }
        self.level = Pair::default();
        self.failing_alone = Cusum::default();
        self.slow_alone = Cusum::default();
    }

    /// Returns the answers at the present share.
    pub(crate) fn level(&self) -> Pair {
        self.level
    }

    /// Returns all answers of the move.
    pub(crate) fn total(&self) -> Pair {
        self.total
    }

    /// Returns from which latency on an answer is slow.
    pub(crate) fn limit(&self) -> Option<Duration> {
        self.limit
    }
}

/// Returns from which latency on an answer is slow, in whole microseconds as it is recorded.
fn limit_above(quantile: Duration) -> Duration {
    let micros = quantile.mul_f64(LIMIT_RATIO).as_micros();
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
