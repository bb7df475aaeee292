//! What came of a run.

use std::collections::BTreeMap;
use std::path::Path;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::audit::Audit;
use crate::outcome::Outcome;
use crate::page;
use crate::plan::Plan;
use crate::tally::{Kind, Second, Tally};
use crate::Error;

/// The shares of calls whose latencies are reported, each with its name.
pub(crate) const QUANTILES: [(&str, f64); 4] =
    [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];

/// The steps of the curve of latencies over shares, by nines.
const CURVE_STEPS: u32 = 40;

/// Latencies, in milliseconds from when calls were due.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// The latency that the named share of calls stays within.
    pub quantiles: BTreeMap<&'static str, f64>,
    /// The longest latency.
    pub max: f64,
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |(name, share): &(_, f64)| (*name, millis(histogram.value_at_quantile(*share)));
        Self {
            quantiles: QUANTILES.iter().map(at).collect(),
            max: millis(histogram.max()),
        }
    }
}

/// What came of the calls of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name of the kind.
    pub name: String,
    /// The calls that were due, by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The latencies of complete answers.
    pub complete: Latency,
    /// The latencies of all calls that were sent, whatever came of them.
    pub all: Latency,
    /// The latencies of complete answers, in milliseconds, over the nines of the share: 2 stands
    /// for 99 %.
    pub curve: Vec<(f64, f64)>,
}

impl Row {
    fn new(name: &str, kind: &Kind) -> Self {
        Self {
            name: name.to_owned(),
            outcomes: kind.outcomes.clone(),
            complete: Latency::of(&kind.complete),
            all: Latency::of(&kind.all),
            curve: curve(&kind.complete),
        }
    }

    /// Returns how many calls ended in `outcome`.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

/// The calls that were due within one second.
#[derive(Clone, Debug, Serialize)]
pub struct Slice {
    /// The calls, by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The longest latency of a complete answer, in milliseconds.
    pub longest: f64,
}

impl From<&Second> for Slice {
    fn from(second: &Second) -> Self {
        Self {
            outcomes: second.outcomes.clone(),
            longest: second.longest.as_secs_f64() * 1000.0,
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The calls that were due each second.
    pub rate: f64,
    /// How long calls were due, in seconds.
    pub duration: f64,
    /// The kinds of calls.
    pub rows: Vec<Row>,
    /// The seconds of the run.
    pub slices: Vec<Slice>,
    /// The copies of keyed calls beyond the first.
    pub resends: u64,
    /// What the executions say of the keyed calls.
    pub audit: Audit,
}

impl Report {
    pub(crate) fn new(plan: &Plan, tally: &Tally, audit: Audit) -> Self {
        let kinds = plan.calls.iter().zip(&tally.kinds);
        Self {
            rate: plan.rate,
            duration: plan.duration.as_secs_f64(),
            rows: kinds
                .map(|(call, kind)| Row::new(&call.name, kind))
                .collect(),
            slices: tally.seconds.iter().map(Slice::from).collect(),
            resends: tally.resends,
            audit,
        }
    }

    /// Returns how many calls ended in `outcome`.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.rows.iter().map(|row| row.count(outcome)).sum()
    }

    /// Returns how many promises were broken: wrong or broken answers, and what the audit found.
    pub fn violations(&self) -> u64 {
        let answers = self.count(Outcome::Wrong) + self.count(Outcome::Broken);
        answers + self.audit.violations()
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be encoded.
    pub fn to_json(&self) -> Result<String, Error> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// Returns the report as a page of HTML with charts.
    ///
    /// # Errors
    ///
    /// Fails where a chart cannot be drawn.
    pub fn to_html(&self) -> Result<String, Error> {
        page::render(self)
    }

    /// Writes `text`, the report in some form, to `path`.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be written.
    pub fn write(path: &Path, text: &str) -> Result<(), Error> {
        std::fs::write(path, text).map_err(|error| Error::Write {
            path: path.to_owned(),
            error,
        })
    }
}

fn curve(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let most = (histogram.len().max(1) as f64).log10();
    let points = (0..=CURVE_STEPS).map(|step| {
        let nines = most * f64::from(step) / f64::from(CURVE_STEPS);
        let share = 1.0 - 10f64.powf(-nines);
        (nines, millis(histogram.value_at_quantile(share)))
    });
    points.collect()
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
