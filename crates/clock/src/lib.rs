//! Monotonic time as a value, and the clocks that provide it.
//!
//! Code that makes decisions never reads a clock. It takes an [`Instant`] from its caller, so that
//! a test can simulate hours in microseconds. Code that does I/O holds a [`Clock`]: [`Boottime`] in
//! the daemon, [`Manual`] in tests.

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
    /// Returns the current instant.
    fn now(&self) -> Instant;

    /// Returns the machine's time of day, since the start of 1970. It may jump.
    fn time_of_day(&self) -> Duration;

    /// Completes when [`Clock::now`] is at or after `deadline`.
    fn sleep_until(&self, deadline: Instant) -> impl Future<Output = ()> + Send;

    /// Completes after `duration`.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        self.sleep_until(self.now() + duration)
    }
}
