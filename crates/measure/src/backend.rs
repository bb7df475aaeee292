//! A backend server: slots, a queue, and a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Instant;

use crate::call::{Attempt, TIME_LIMIT};
use crate::site::SLOTS;

/// The answers after which a server is warm.
const COLD_REQUESTS: u32 = 10;

/// How much longer a cold server takes, for each request at hand.
const COLD_FACTOR: f64 = 4.0;

/// A backend server: slots, a queue, and a cold start.
#[derive(Clone, Debug)]
pub struct Backend {
    running: u32,
    queue: VecDeque<Attempt>,
    answered: u32,
    start: u64,
    /// How much longer each request takes.
    pub slowness: f64,
}

impl Backend {
    /// Returns a warm server.
    pub fn warm() -> Self {
        Self {
            running: 0,
            queue: VecDeque::new(),
            answered: COLD_REQUESTS,
            start: 1,
            slowness: 1.0,
        }
    }

    /// Starts the server again. Requests at hand go on.
    pub fn restart(&mut self) {
        self.answered = 0;
        self.start += 1;
    }

    /// Returns whether the server is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.answered < COLD_REQUESTS
    }

    /// Returns the requests at hand.
    pub fn at_hand(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Takes a request.
    pub fn take(&mut self, attempt: Attempt) {
        self.queue.push_back(attempt);
    }

    /// Ends a request that ran.
    pub fn end(&mut self) {
        self.running -= 1;
        self.answered = self.answered.saturating_add(1);
    }

    /// Returns the next request that begins now, with its time, or that has expired, with none.
    pub fn begin(&mut self, now: Instant) -> Option<(Attempt, Duration)> {
        if self.running == SLOTS {
            return None;
        }
        let factor = self.factor();
        let mut attempt = self.queue.pop_front()?;
        attempt.start = self.start;
        attempt.expired = now >= attempt.sent + TIME_LIMIT;
        if attempt.expired {
            return Some((attempt, Duration::ZERO));
        }
        self.running += 1;
        Some((attempt, attempt.work.mul_f64(factor)))
    }

    /// Returns how much longer a request takes that starts now.
    fn factor(&self) -> f64 {
        let at_hand = self.at_hand();
        let queued = at_hand.saturating_sub(SLOTS);
        let queue_factor = 1.0 + f64::from(queued) / f64::from(SLOTS);
        let cold_factor = match self.is_cold() {
            true => COLD_FACTOR * f64::from(at_hand.max(1)),
            false => 1.0,
        };
        queue_factor * cold_factor * self.slowness
    }
}
