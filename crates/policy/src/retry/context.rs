//! The state of a call after an attempt without a complete response.

use std::time::Duration;

use clock::Instant;
use contract::id;

use super::Stop;

/// Maximum number of attempts per call, including the first.
const MAX_ATTEMPTS: usize = 3;

/// The state of a call after an attempt without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// Whether this attempt or an earlier one may have run: a byte may have reached a server that
    /// has not reported that it refused the request without running it.
    pub may_have_run: bool,
    /// Whether the request is in quarantine.
    pub quarantined: bool,
    /// The servers tried, one per attempt.
    pub tried: &'a [id::Server],
    /// The caller's deadline.
    pub deadline: Instant,
    /// The expected duration of an attempt, such as the usual latency of the route.
    pub expected_duration: Duration,
}

impl Context<'_> {
    /// Returns whether the call may be retried, if the budget allows it.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let safe = self.idempotent || !self.may_have_run;
        let in_time = now + self.expected_duration < self.deadline;
        safe && in_time && !self.quarantined && self.tried.len() < MAX_ATTEMPTS
    }

    /// Returns how the call ends if it is not retried.
    pub(super) fn stop(&self) -> Stop {
        if self.may_have_run {
            Stop::Unknown
        } else {
            Stop::NotRun
        }
    }
}
