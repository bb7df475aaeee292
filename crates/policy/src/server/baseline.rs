//! The typical latency of a route in a pool.

use std::time::Duration;

/// The typical latency of a route in the pool, as a running median.
///
/// Each response moves the baseline towards its own latency by a fixed fraction of the baseline,
/// and the first responses by a larger fraction, so that one slow server cannot pull it up. The
/// baseline starts with the first response of a warm server. Responses of cold servers never raise
/// it; otherwise cold servers would not look slow while all servers are cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    micros: f64,
    responses: u32,
}

impl Baseline {
    /// Fraction of the baseline by which one response moves it.
    const STEP: f64 = 1.0 / 32.0;

    /// Fraction of the baseline by which each of the first responses moves it.
    const FIRST_STEP: f64 = 1.0 / 8.0;

    /// Number of responses for which [`Self::FIRST_STEP`] applies.
    const FIRST_RESPONSES: u32 = 16;

    /// Lower bound of latencies, in microseconds. Lower ones count as this one.
    const MIN_MICROS: f64 = 50.0;

    /// Returns the baseline after one response of a warm server.
    pub(crate) fn new(latency: Duration) -> Self {
        Self {
            micros: micros(latency),
            responses: 1,
        }
    }

    /// Returns the ratio of `latency` to the baseline.
    pub(crate) fn ratio(&self, latency: Duration) -> f64 {
        micros(latency) / self.micros
    }

    /// Records a response of a cold or warm server.
    pub(crate) fn observe(&mut self, latency: Duration, cold: bool) {
        let latency = micros(latency);
        let step = self.micros * self.step();
        self.responses = self.responses.saturating_add(1);
        if latency < self.micros {
            self.micros = latency.max(self.micros - step);
        } else if !cold {
            self.micros = latency.min(self.micros + step);
        }
    }

    fn step(&self) -> f64 {
        if self.responses < Self::FIRST_RESPONSES {
            Self::FIRST_STEP
        } else {
            Self::STEP
        }
    }
}

fn micros(latency: Duration) -> f64 {
    (latency.as_secs_f64() * 1e6).max(Baseline::MIN_MICROS)
}
