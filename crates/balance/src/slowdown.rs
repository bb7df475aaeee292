//! Predicts the slowdown of servers on shared machines.
//!
//! The slowdown factor of a server is the current duration of work relative to the normal one: 1 is
//! normal speed, 2 is half as fast. It changes when other workloads on the machine come and go.

use std::time::Duration;

use clock::Instant;

use crate::report::{Report, NORMAL_SLOWDOWN_PERCENT};

/// The time constant of the averages, in seconds of observation summed over all servers.
const TIME_CONSTANT_SECS: f64 = 150.0;

/// The longest time for which one report counts, in seconds.
const MAX_REPORT_WEIGHT_SECS: f64 = 1.0;

/// The lower bound on reported slowdown factors when a speed is computed.
const MIN_SLOWDOWN: f64 = 0.05;

/// The weight of a pair of consecutive reports in the averages from which the persistence is
/// derived.
const PAIR_WEIGHT: f64 = 0.004;

/// The persistence assumed before any report.
const INITIAL_PERSISTENCE: Duration = Duration::from_millis(250);

/// The gaps between two reports of one server that count for the persistence, in seconds.
const PAIR_GAPS_SECS: std::ops::Range<f64> = 0.02..0.4;

/// The bounds on the correlation of two reports, which keep the persistence finite and positive.
const CORRELATION_BOUNDS: (f64, f64) = (0.05, 0.95);

/// The average slowdown of servers, and how long a slowdown persists.
///
/// The correlation of two reports of one server decreases with the time between them as
/// `exp(-t / T)`, if other workloads on the machine come and go at random. `T`, the persistence, is
/// estimated from the reports.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// The average slowdown factor.
    mean: f64,
    /// The average speed, which is the inverse of the slowdown factor.
    mean_speed: f64,
    /// The average product of the deviations of two consecutive reports.
    covariance: f64,
    /// The average square of the deviation.
    variance: f64,
    /// The average time between the two reports, in seconds.
    gap_secs: f64,
}

impl Default for Model {
    fn default() -> Self {
        const INITIAL_GAP_SECS: f64 = 0.1;
        let correlation = (-INITIAL_GAP_SECS / INITIAL_PERSISTENCE.as_secs_f64()).exp();
        Self {
            mean: 1.0,
            mean_speed: 1.0,
            covariance: correlation,
            variance: 1.0,
            gap_secs: INITIAL_GAP_SECS,
        }
    }
}

/// Returns the slowdown factor of a report. 1 is normal speed.
pub fn factor(report: &Report) -> f64 {
    f64::from(report.slowdown_percent) / f64::from(NORMAL_SLOWDOWN_PERCENT)
}

impl Model {
    /// Records the report that a server made at `at`, given its previous one.
    ///
    /// A report is weighted by the time since the previous one. Otherwise fast servers, which get
    /// more requests and so make more reports than slow ones, would bias the averages.
    pub fn record(&mut self, previous: Option<(Report, Instant)>, report: Report, at: Instant) {
        let slowdown = factor(&report);
        let gap = previous.map_or(MAX_REPORT_WEIGHT_SECS, |(_, last)| {
            at.since(last).as_secs_f64()
        });
        let weight = 1.0 - (-gap.min(MAX_REPORT_WEIGHT_SECS) / TIME_CONSTANT_SECS).exp();
        self.mean += (slowdown - self.mean) * weight;
        self.mean_speed += (1.0 / slowdown.max(MIN_SLOWDOWN) - self.mean_speed) * weight;
        let Some((previous, _)) = previous.filter(|_| PAIR_GAPS_SECS.contains(&gap)) else {
            return;
        };
        let (earlier, later) = (factor(&previous) - self.mean, slowdown - self.mean);
        self.covariance += (earlier * later - self.covariance) * PAIR_WEIGHT;
        self.variance += (earlier * earlier - self.variance) * PAIR_WEIGHT;
        self.gap_secs += (gap - self.gap_secs) * PAIR_WEIGHT;
    }

    /// Returns the average slowdown factor.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the average speed of servers, 1 being the normal one. It is higher than the inverse
    /// of the average slowdown factor, because fast servers do most of the work.
    pub fn mean_speed(&self) -> f64 {
        self.mean_speed
    }

    /// Returns how long a slowdown persists, in seconds.
    pub fn persistence_secs(&self) -> f64 {
        const MIN_VARIANCE: f64 = 1e-6;
        let correlation = self.covariance / self.variance.max(MIN_VARIANCE);
        let correlation = correlation.clamp(CORRELATION_BOUNDS.0, CORRELATION_BOUNDS.1);
        self.gap_secs / -correlation.ln()
    }

    /// Returns the slowdown factor expected `age_secs` seconds after `slowdown` was reported.
    pub fn predict(&self, slowdown: f64, age_secs: f64) -> f64 {
        self.mean + (slowdown - self.mean) * (-age_secs / self.persistence_secs()).exp()
    }

    /// Returns how long `work_secs` seconds of work take on a server that starts at `slowdown`, in
    /// seconds.
    ///
    /// Assumes that the slowdown lasts for its persistence and is average after that.
    pub fn predicted_duration(&self, work_secs: f64, slowdown: f64) -> f64 {
        let persistence = self.persistence_secs();
        let done = persistence / slowdown;
        if done >= work_secs {
            work_secs * slowdown
        } else {
            persistence + (work_secs - done) * self.mean
        }
    }
}
