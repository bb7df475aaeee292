//! Counters of one pool's credits.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one pool's credits at this instance. They never decrease: the counters are kept when
/// the pool moves to another instance and back.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    granted: AtomicU64,
    returned: AtomicU64,
    expired: AtomicU64,
}

impl Credits {
    /// Counts a granted credit.
    pub(crate) fn record_granted(&self) {
        self.granted.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a credit that was returned to its owner.
    pub(crate) fn record_returned(&self) {
        self.returned.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts credits that expired before they were returned.
    pub(crate) fn record_expired(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.expired.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the counts, each with its value of the label `event`.
    pub(crate) fn counts(&self) -> [(&'static str, u64); 3] {
        [
            ("granted", self.granted.load(Ordering::Relaxed)),
            ("returned", self.returned.load(Ordering::Relaxed)),
            ("expired", self.expired.load(Ordering::Relaxed)),
        ]
    }
}
