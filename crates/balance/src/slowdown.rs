//! How the pace of servers on shared machines changes.

use std::time::Duration;

use clock::Instant;

use crate::report::{Report, NORMAL_SLOWDOWN_PERCENT};

/// The time of servers, added up, over which the average pace is taken.
const AVERAGED_TIME: f64 = 150.0;

/// The longest time for which a report of a pace counts, in seconds.
const LONGEST_WEIGHT: f64 = 1.0;

/// The shortest pace that is believed.
const LEAST_PACE: f64 = 0.05;

/// The weight of two reports in a row in the averages that tell how long a pace lasts.
const WEIGHT: f64 = 0.004;

/// How long a pace lasts, before anything has been seen.
const FIRST_PERSISTENCE: Duration = Duration::from_millis(250);

/// The gaps between two reports of one server from which it is told how long a pace lasts, in
/// seconds.
const GAPS: std::ops::Range<f64> = 0.02..0.4;

/// The bounds on the correlation of two reports. A pace is never taken to last for ever, nor not at
/// all.
const CORRELATIONS: (f64, f64) = (0.05, 0.95);

/// How the pace of servers changes: its average, and how long it lasts.
///
/// The correlation of two reports of one server falls with the time between them, as `exp(-t / T)`
/// where neighbours on the machine come and go at random. `T` is learned from the reports.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    mean: f64,
    /// The average of what is done in a time, 1 being the usual.
    speed: f64,
    /// The average product of the deviations of two reports in a row.
    product: f64,
    /// The average square of the deviation.
    square: f64,
    /// The average time between the two reports, in seconds.
    gap: f64,
}

impl Default for Model {
    fn default() -> Self {
        const FIRST_GAP: f64 = 0.1;
        let correlation = (-FIRST_GAP / FIRST_PERSISTENCE.as_secs_f64()).exp();
        Self {
            mean: 1.0,
            speed: 1.0,
            product: correlation,
            square: 1.0,
            gap: FIRST_GAP,
        }
    }
}

/// Returns the pace of a report, 1 being the usual one.
pub fn factor(report: &Report) -> f64 {
    f64::from(report.slowdown_percent) / f64::from(NORMAL_SLOWDOWN_PERCENT)
}

impl Model {
    /// Takes the report that a server made at `at`, and the one that it had made before.
    ///
    /// A report counts for the time since the one before: servers that are fast get more requests,
    /// and so make more reports than slow ones.
    pub fn record(&mut self, before: Option<(Report, Instant)>, report: Report, at: Instant) {
        let pace = factor(&report);
        let gap = before.map_or(LONGEST_WEIGHT, |(_, last)| at.since(last).as_secs_f64());
        let weight = 1.0 - (-gap.min(LONGEST_WEIGHT) / AVERAGED_TIME).exp();
        self.mean += (pace - self.mean) * weight;
        self.speed += (1.0 / pace.max(LEAST_PACE) - self.speed) * weight;
        let Some((before, _)) = before.filter(|_| GAPS.contains(&gap)) else {
            return;
        };
        let (earlier, later) = (factor(&before) - self.mean, pace - self.mean);
        self.product += (earlier * later - self.product) * WEIGHT;
        self.square += (earlier * earlier - self.square) * WEIGHT;
        self.gap += (gap - self.gap) * WEIGHT;
    }

    /// Returns the average pace.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns how much servers do in a time on average, 1 being the usual. It is more than their
    /// average pace tells, as those that are fast do most.
    pub fn mean_speed(&self) -> f64 {
        self.speed
    }

    /// Returns how long a pace lasts, in seconds.
    pub fn persistence_secs(&self) -> f64 {
        const LEAST_SQUARE: f64 = 1e-6;
        let correlation = self.product / self.square.max(LEAST_SQUARE);
        let correlation = correlation.clamp(CORRELATIONS.0, CORRELATIONS.1);
        self.gap / -correlation.ln()
    }

    /// Returns the pace that is expected `age` seconds after `pace` was reported.
    pub fn predict(&self, pace: f64, age: f64) -> f64 {
        self.mean + (pace - self.mean) * (-age / self.persistence_secs()).exp()
    }

    /// Returns how long `work` seconds of work take that start at `pace`.
    ///
    /// The pace lasts for its persistence, and is the average one after that.
    pub fn predicted_duration(&self, work: f64, pace: f64) -> f64 {
        let lasts = self.persistence_secs();
        let done = lasts / pace;
        if done >= work {
            work * pace
        } else {
            lasts + (work - done) * self.mean
        }
    }
}
