//! Report of a run: outcomes, latencies and the audit of keyed calls.

use std::collections::BTreeMap;
use std::path::Path;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::audit::Audit;
use crate::outcome::Outcome;
use crate::page;
use crate::plan::Plan;
use crate::tally::{CallStats, Second, Tally};
use crate::Error;

/// Names and values of the reported latency quantiles.
pub(crate) const QUANTILES: [(&str, f64); 4] =
    [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];

/// Number of steps of the latency curve, evenly spaced in nines.
const CURVE_STEPS: u32 = 40;

/// Latencies in milliseconds, measured from the scheduled start of each call.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Latency quantiles by name, such as `p99`.
    pub quantiles: BTreeMap<&'static str, f64>,
    /// Maximum latency.
    pub max: f64,
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Self {
        let quantile =
            |(name, share): &(_, f64)| (*name, millis(histogram.value_at_quantile(*share)));
        Self {
            quantiles: QUANTILES.iter().map(quantile).collect(),
            max: millis(histogram.max()),
        }
    }
}

/// Results of the calls of one type.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the type of call.
    pub name: String,
    /// Number of scheduled calls by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Latencies of calls with a complete response.
    pub complete: Latency,
    /// Latencies of all calls that were sent, regardless of outcome.
    pub all: Latency,
    /// Latency curve of complete responses: pairs of a quantile in nines (2 is 99 %) and the
    /// latency in milliseconds.
    pub curve: Vec<(f64, f64)>,
}

impl Row {
    fn new(name: &str, stats: &CallStats) -> Self {
        Self {
            name: name.to_owned(),
            outcomes: stats.outcomes.clone(),
            complete: Latency::of(&stats.complete),
            all: Latency::of(&stats.all),
            curve: latency_curve(&stats.complete),
        }
    }

    /// Returns the number of calls with `outcome`.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

/// Results of the calls scheduled within one second.
#[derive(Clone, Debug, Serialize)]
pub struct Slice {
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Maximum latency of a complete response, in milliseconds.
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

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Rate of scheduled calls, in calls per second.
    pub rate: f64,
    /// Duration over which calls were scheduled, in seconds.
    pub duration: f64,
    /// Results by type of call.
    pub rows: Vec<Row>,
    /// Results by second of the run.
    pub slices: Vec<Slice>,
    /// Number of further copies of keyed calls, either resent or duplicated.
    pub resends: u64,
    /// Audit of the executions of the keyed calls.
    pub audit: Audit,
}

impl Report {
    pub(crate) fn new(plan: &Plan, tally: &Tally, audit: Audit) -> Self {
        let call_types = plan.calls.iter().zip(&tally.call_types);
        Self {
            rate: plan.rate,
            duration: plan.duration.as_secs_f64(),
            rows: call_types
                .map(|(call, stats)| Row::new(&call.name, stats))
                .collect(),
            slices: tally.seconds.iter().map(Slice::from).collect(),
            resends: tally.resends,
            audit,
        }
    }

    /// Returns the number of calls with `outcome`.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.rows.iter().map(|row| row.count(outcome)).sum()
    }

    /// Returns the number of violations: wrong or broken responses, and those found by the audit.
    pub fn violations(&self) -> u64 {
        let broken_responses = self.count(Outcome::Wrong) + self.count(Outcome::Broken);
        broken_responses + self.audit.violations()
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the report cannot be encoded.
    pub fn to_json(&self) -> Result<String, Error> {
        Ok(serde_json::to_string_pretty(self)?)
    }

    /// Returns the report as an HTML page with charts.
    ///
    /// # Errors
    ///
    /// Returns an error if a chart cannot be drawn.
    pub fn to_html(&self) -> Result<String, Error> {
        page::render(self)
    }

    /// Writes `text`, an encoded report, to `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(path: &Path, text: &str) -> Result<(), Error> {
        std::fs::write(path, text).map_err(|error| Error::Write {
            path: path.to_owned(),
            error,
        })
    }
}

fn latency_curve(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let max_nines = (histogram.len().max(1) as f64).log10();
    let points = (0..=CURVE_STEPS).map(|step| {
        let nines = max_nines * f64::from(step) / f64::from(CURVE_STEPS);
        let share = 1.0 - 10f64.powf(-nines);
        (nines, millis(histogram.value_at_quantile(share)))
    });
    points.collect()
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
