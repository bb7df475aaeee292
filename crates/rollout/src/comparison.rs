//! Compares both versions on one route.
//!
//! Responses are counted in one [`Stratum`] per data centre. When its period ends, the stratum goes
//! to the [`Analysis`] of the route and to the one pooled over all routes.

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

/// The quantile of the old version's latencies from which the slow limit is computed.
const SLOW_LIMIT_QUANTILE: f64 = 0.9;

/// The ratio of the slow limit to [`SLOW_LIMIT_QUANTILE`].
const SLOW_LIMIT_RATIO: f64 = 1.5;

/// The number of latencies of the old version that are needed to set the slow limit.
const MIN_LATENCIES: u64 = 100;

/// The number of latencies above which the histogram is halved, so that recent ones weigh more.
const MAX_LATENCIES: u64 = 20_000;

/// The least reference failure rate while the new version carries all traffic.
const MIN_FAILURE_REFERENCE: f64 = 0.01;

/// The least reference rate of slow responses while the new version carries all traffic.
const MIN_SLOW_REFERENCE: f64 = 0.1;

/// How long a rate that a control comparison did not attribute to the new version raises no alarm.
const DISMISSAL_TIME: Duration = Duration::from_secs(300);

/// Compares both versions on one route.
#[derive(Clone, Debug)]
pub(crate) struct Comparison {
    strata: BTreeMap<id::Centre, Stratum>,
    analysis: Analysis,
    failure_alarm: Cusum,
    slow_alarm: Cusum,
    /// The latencies of the old version.
    latencies: Histogram,
    /// The latency from which on a response is slow.
    slow_limit: Option<Duration>,
    total: Pair,
    /// The responses at the current share.
    level: Pair,
    /// The new version's counts that were last dismissed as no fault of its own, and until when
    /// the dismissal is valid.
    dismissed: Option<(Counts, Instant)>,
}

impl Comparison {
    /// Returns a comparison without evidence.
    pub(crate) fn new() -> Self {
        Self::restore(Pair::default(), None)
    }

    /// Returns a comparison without evidence after the responses in `total`, with `slow_limit`.
    pub(crate) fn restore(total: Pair, slow_limit: Option<Duration>) -> Self {
        Self {
            strata: BTreeMap::new(),
            analysis: Analysis::new(),
            failure_alarm: Cusum::default(),
            slow_alarm: Cusum::default(),
            latencies: Histogram::default(),
            slow_limit,
            total,
            level: Pair::default(),
            dismissed: None,
        }
    }

    /// Restores the evidence of a previous lead owner. `level` holds the responses at the current
    /// share.
    pub(crate) fn restore_evidence(&mut self, analysis: &Analysis, level: Pair) {
        self.analysis = analysis.clone();
        self.level = level;
    }

    /// Counts responses of the old version in `centre`.
    pub(crate) fn observe_old(&mut self, centre: &id::Centre, tally: &Tally, now: Instant) {
        self.stratum(centre, now).observe_old(tally);
        self.latencies.merge(&tally.latencies);
    }

    /// Counts responses of `server` in `centre`, which runs the new version.
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
        let slow_limit = self.slow_limit;
        let strata = self.strata.entry(centre.clone());
        strata.or_insert_with(|| Stratum::open(slow_limit, now))
    }

    /// Adds the periods that have ended to this comparison and to `pooled`. `alone` states that the
    /// new version carries all traffic.
    pub(crate) fn step(&mut self, alone: bool, pooled: &mut Analysis, now: Instant) {
        let is_over = |stratum: &Stratum| stratum.is_over(alone, now);
        let strata = std::mem::take(&mut self.strata);
        let (over, open): (Vec<_>, Vec<_>) = strata.into_iter().partition(|(_, s)| is_over(s));
        self.strata = open.into_iter().collect();
        for (_, stratum) in over {
            self.close_stratum(&stratum, alone, pooled, now);
        }
        self.update_slow_limit();
    }

    /// Adds the responses of a period that has ended.
    fn close_stratum(
        &mut self,
        stratum: &Stratum,
        alone: bool,
        pooled: &mut Analysis,
        now: Instant,
    ) {
        let (old, new) = (stratum.old, stratum.new_total());
        if alone {
            self.update_alarms(new, now);
        }
        self.analysis.observe(stratum);
        pooled.observe(stratum);
        self.total.add(old, new);
        self.level.add(old, new);
    }

    /// Compares responses of the new version, which carries all traffic, with the earlier rates of
    /// the old version.
    fn update_alarms(&mut self, new: Counts, now: Instant) {
        let old = self.total.old;
        let dismissed = self.dismissed.filter(|(_, until)| now < *until);
        let (failure, slow) = dismissed.map_or((0.0, 0.0), |(counts, _)| {
            (counts.failure_rate(), counts.slow_rate())
        });
        let failure = failure.max(old.failure_rate());
        let slow = slow.max(old.slow_rate());
        self.failure_alarm
            .observe(new.calls, new.failed, failure, MIN_FAILURE_REFERENCE);
        self.slow_alarm
            .observe(new.timed, new.slow, slow, MIN_SLOW_REFERENCE);
    }

    /// Dismisses the new version's rates at the current share as no fault of its own.
    pub(crate) fn dismiss(&mut self, now: Instant) {
        self.dismissed = Some((self.level.new, now + DISMISSAL_TIME));
    }

    /// Updates the slow limit for strata that open from now on.
    fn update_slow_limit(&mut self) {
        if self.latencies.count() < MIN_LATENCIES {
            return;
        }
        let quantile = self.latencies.quantile(SLOW_LIMIT_QUANTILE);
        self.slow_limit = quantile.map(slow_limit_above);
        if self.latencies.count() > MAX_LATENCIES {
            self.latencies.halve();
        }
    }

    /// Returns the evidence of a fault on this route.
    pub(crate) fn analysis(&self) -> &Analysis {
        &self.analysis
    }

    /// Returns whether the new version, which carries all traffic, looks worse than the old version
    /// did before.
    pub(crate) fn is_alarm_raised(&self) -> bool {
        self.failure_alarm.is_raised() || self.slow_alarm.is_raised()
    }

    /// Begins a new level: the time at one share of the traffic.
    ///
    /// Closes all open strata, because responses at different shares are not comparable.
    pub(crate) fn begin_level(&mut self, pooled: &mut Analysis, now: Instant) {
        let strata = std::mem::take(&mut self.strata);
        for stratum in strata.values() {
            self.close_stratum(stratum, false, pooled, now);
        }
        self.level = Pair::default();
        self.failure_alarm = Cusum::default();
        self.slow_alarm = Cusum::default();
    }

    /// Returns the responses at the current share.
    pub(crate) fn level(&self) -> Pair {
        self.level
    }

    /// Returns all responses of the rollout.
    pub(crate) fn total(&self) -> Pair {
        self.total
    }

    /// Returns the latency from which on a response is slow.
    pub(crate) fn slow_limit(&self) -> Option<Duration> {
        self.slow_limit
    }
}

/// Returns the slow limit for `quantile`, in whole microseconds as it is stored.
fn slow_limit_above(quantile: Duration) -> Duration {
    let micros = quantile.mul_f64(SLOW_LIMIT_RATIO).as_micros();
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
