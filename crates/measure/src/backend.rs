//! Simulated backend server with slots, a queue and a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Instant;

use crate::call::{Attempt, TIME_LIMIT};
use crate::site::SLOTS;

/// The number of answered requests after which a server is warm.
const COLD_REQUESTS: u32 = 10;

/// The factor by which a cold server is slower, for each pending request.
const COLD_FACTOR: f64 = 4.0;

/// A backend server with slots, a queue and a cold start.
#[derive(Clone, Debug)]
pub struct Backend {
    running: u32,
    queue: VecDeque<Attempt>,
    answered: u32,
    start: u64,
    /// The factor by which each request takes longer.
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

    /// Restarts the server cold. Pending requests are kept.
    pub fn restart(&mut self) {
        self.answered = 0;
        self.start += 1;
    }

    /// Returns whether the server is still cold.
    pub fn is_cold(&self) -> bool {
        self.answered < COLD_REQUESTS
    }

    /// Returns the number of running and queued requests.
    pub fn pending(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Queues a request.
    pub fn enqueue(&mut self, attempt: Attempt) {
        self.queue.push_back(attempt);
    }

    /// Completes a running request.
    pub fn complete(&mut self) {
        self.running -= 1;
        self.answered = self.answered.saturating_add(1);
    }

    /// Dequeues the next request and returns it with its service time, which is zero for an expired
    /// request. Returns `None` if the queue is empty or no slot is free.
    pub fn start_next(&mut self, now: Instant) -> Option<(Attempt, Duration)> {
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

    /// Returns the factor by which a request takes longer if it starts now.
    fn factor(&self) -> f64 {
        let pending = self.pending();
        let queued = pending.saturating_sub(SLOTS);
        let queue_factor = 1.0 + f64::from(queued) / f64::from(SLOTS);
        let cold_factor = match self.is_cold() {
            true => COLD_FACTOR * f64::from(pending.max(1)),
            false => 1.0,
        };
        queue_factor * cold_factor * self.slowness
    }
}
