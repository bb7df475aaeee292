//! Measures the time that a call spends at backend servers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Total time that a call has spent at backend servers. Clones share the total.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stopwatch(Arc<AtomicU64>);

impl Stopwatch {
    /// Adds the duration of one attempt.
    pub(crate) fn add(&self, time: Duration) {
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.0.fetch_add(nanos, Ordering::Relaxed);
    }

    /// Returns the total duration of all attempts.
    pub(crate) fn total(&self) -> Duration {
        Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }
}
