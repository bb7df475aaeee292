//! Limits the calls in flight.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the calls in flight.
#[derive(Debug, Default)]
pub struct Calls(AtomicUsize);

/// One call in flight, counted until this guard is dropped.
#[derive(Debug)]
pub struct Guard<'a>(&'a Calls);

impl Calls {
    /// Counts one more call, or returns `None` if `limit` calls are in flight.
    pub fn try_start(&self, limit: usize) -> Option<Guard<'_>> {
        let before = self.0.fetch_add(1, Ordering::AcqRel);
        let guard = Guard(self);
        (before < limit).then_some(guard)
    }

    /// Returns the number of calls in flight.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::AcqRel);
    }
}
