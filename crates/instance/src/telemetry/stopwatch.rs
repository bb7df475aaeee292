//! The time that a call has spent at backend servers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The time that a call has spent at backend servers. Clones count together.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stopwatch(Arc<AtomicU64>);

impl Stopwatch {
    /// Adds the time of one attempt.
    pub(crate) fn add(&self, time: Duration) {
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.0.fetch_add(nanos, Ordering::Relaxed);
    }

    /// Returns the time of all attempts together.
    pub(crate) fn total(&self) -> Duration {
        Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }
}
