//! The state of a call after an attempt that gave no whole answer.

use std::time::Duration;

use clock::Instant;
use contract::id;

use super::Stop;

/// The attempts of one call, the original included.
const MAX_ATTEMPTS: usize = 3;

/// The state of a call after an attempt that gave no whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Whether the call may run more than once without harm.
    pub idempotent: bool,
    /// Whether this attempt or an earlier one may have run: a byte may have reached a server that
    /// has not said that it refused the request unrun.
    pub may_have_run: bool,
    /// Whether the request is in quarantine.
    pub quarantined: bool,
    /// The servers tried, one an attempt.
    pub tried: &'a [id::Server],
    /// When the caller's time is up.
    pub deadline: Instant,
    /// The time that an attempt needs, such as the usual latency of the route.
    pub expected_duration: Duration,
}

impl Context<'_> {
    /// Returns whether the call may be tried again, as far as the budget allows.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let safe = self.idempotent || !self.may_have_run;
        let in_time = now + self.expected_duration < self.deadline;
        safe && in_time && !self.quarantined && self.tried.len() < MAX_ATTEMPTS
    }

    /// Returns how the call ends if it is not tried again.
    pub(super) fn stop(&self) -> Stop {
        if self.may_have_run {
            Stop::Unknown
        } else {
            Stop::NotRun
        }
    }
}
