//! The usual latency of a route in a pool.

use std::time::Duration;

/// The usual latency of a route in the pool: a running median.
///
/// Each answer moves it by a fixed fraction towards itself, so that one slow server cannot pull
/// it up. The first answers may come from cold servers, so the least of them counts. Later, answers
/// of cold servers don't raise it: when all servers are cold, each still looks slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    micros: f64,
    answers: u32,
}

impl Baseline {
    /// The fraction by which one answer moves the baseline.
    const STEP: f64 = 1.0 / 32.0;

    /// The answers of which the least counts.
    const FIRST: u32 = 16;

    /// The lowest latency that is told from zero, in microseconds.
    const FLOOR: f64 = 50.0;

    /// Returns the baseline after one answer.
    pub(crate) fn new(latency: Duration) -> Self {
        Self {
            micros: micros(latency),
            answers: 1,
        }
    }

    /// Returns `latency` in units of the baseline.
    pub(crate) fn ratio(&self, latency: Duration) -> f64 {
        micros(latency) / self.micros
    }

    /// Counts an answer of a server that is cold or not.
    pub(crate) fn observe(&mut self, latency: Duration, cold: bool) {
        let latency = micros(latency);
        let step = self.micros * Self::STEP;
        if self.answers < Self::FIRST {
            self.answers += 1;
            self.micros = latency.min(self.micros);
        } else if latency < self.micros {
            self.micros = latency.max(self.micros - step);
        } else if !cold {
            self.micros = latency.min(self.micros + step);
        }
    }
}

fn micros(latency: Duration) -> f64 {
    (latency.as_secs_f64() * 1e6).max(Baseline::FLOOR)
}
