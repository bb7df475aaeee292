//! Counts of one pool's credits.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of one pool's credits at this instance. They only grow, also when the pool goes to
/// another instance and comes back.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    granted: AtomicU64,
    returned: AtomicU64,
    expired: AtomicU64,
}

impl Credits {
    /// Counts a credit that was granted.
    pub(crate) fn record_granted(&self) {
        self.granted.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a credit that came back.
    pub(crate) fn record_returned(&self) {
        self.returned.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts credits that ended by time.
    pub(crate) fn record_expired(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.expired.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the counts, each with the name of its event.
    pub(crate) fn counts(&self) -> [(&'static str, u64); 3] {
        [
            ("granted", self.granted.load(Ordering::Relaxed)),
            ("returned", self.returned.load(Ordering::Relaxed)),
            ("expired", self.expired.load(Ordering::Relaxed)),
        ]
    }
}
