//! The usual latency of a route in a pool.

use std::time::Duration;

/// The usual latency of a route in the pool: a running median.
///
/// Each answer moves it by a fixed fraction towards itself, the first ones by a larger one, so that
/// one slow server cannot pull it up. It begins with the first answer of a warm server, and answers
/// of cold servers don't raise it: when all servers are cold, each still looks slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    micros: f64,
    responses: u32,
}

impl Baseline {
    /// The fraction by which one answer moves the baseline.
    const STEP: f64 = 1.0 / 32.0;

    /// The same for the first answers.
    const FIRST_STEP: f64 = 1.0 / 8.0;

    /// The number of first answers.
    const FIRST_RESPONSES: u32 = 16;

    /// The lowest latency that is told from zero, in microseconds.
    const MIN_MICROS: f64 = 50.0;

    /// Returns the baseline after one answer of a warm server.
    pub(crate) fn new(latency: Duration) -> Self {
        Self {
            micros: micros(latency),
            responses: 1,
        }
    }

    /// Returns `latency` in units of the baseline.
    pub(crate) fn ratio(&self, latency: Duration) -> f64 {
        micros(latency) / self.micros
    }

    /// Counts an answer of a server that is cold or not.
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
