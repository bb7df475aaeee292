//! Time as a value, and a clock that tests can move.
//!
//! Decisions never read a clock. They take an [`Instant`] from their caller, so that a test replays
//! hours in microseconds. Code that does I/O holds a [`Clock`]: [`Boottime`] in the daemon,
//! [`Manual`] in tests.

mod boottime;
mod instant;
mod manual;

use std::future::Future;
use std::time::Duration;

pub use boottime::Boottime;
pub use instant::Instant;
pub use manual::Manual;

/// A source of monotonic time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the present instant.
    fn now(&self) -> Instant;

    /// Completes once [`Clock::now`] is at or past `deadline`.
    fn sleep_until(&self, deadline: Instant) -> impl Future<Output = ()> + Send;

    /// Completes after `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        self.sleep_until(self.now() + duration)
    }
}
