//! The schedule of a graceful shutdown: until when requests are passed on to servers.
//!
//! An instance that stops still gets requests, on connections that are open and on new ones, until
//! the front balancer has taken it out of rotation. A request that is at a server when the process
//! exits is cut, so from some time before the exit only those are passed on whose response, or
//! deadline, comes before it. The others are refused without having run.

use std::time::Duration;

use clock::Instant;

/// The time for which the front balancer may still send callers to a stopping instance: it checks
/// readiness once a second and acts on the second failure.
const FRONT_REACTION_TIME: Duration = Duration::from_millis(3000);

/// How long before idle connections are closed requests with any deadline are passed on.
const ADMISSION_MARGIN: Duration = Duration::from_millis(500);

/// The part of the grace period that is reserved for the process to exit.
const EXIT_RESERVE: Duration = Duration::from_millis(800);

/// The time reserved before the exit to write responses.
const RESPONSE_RESERVE: Duration = Duration::from_millis(200);

/// The schedule of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    admission_ends: Instant,
    /// When idle connections of callers are closed.
    pub close_idle_at: Instant,
    /// When no further connections are accepted. All responses should be written by then.
    pub stop_accepting_at: Instant,
    /// When the process exits, although requests may be in flight.
    pub exit_at: Instant,
}

impl Schedule {
    /// Returns the schedule of a shutdown that was requested at `now`, after which the process is
    /// killed when `grace` has passed.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let reaction_time = FRONT_REACTION_TIME.min(grace / 2);
        let exit_at = now + grace.saturating_sub(EXIT_RESERVE);
        Self {
            admission_ends: now + reaction_time.saturating_sub(ADMISSION_MARGIN),
            close_idle_at: now + reaction_time,
            stop_accepting_at: exit_at.before(RESPONSE_RESERVE),
            exit_at,
        }
    }

    /// Returns whether a request with this deadline may be sent to a server at `now`.
    pub fn admits(&self, deadline: Instant, now: Instant) -> bool {
        now < self.admission_ends || deadline <= self.stop_accepting_at
    }
}
