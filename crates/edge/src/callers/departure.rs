//! Whether a caller has left, and what has to go on all the same.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a caller has left, and what has to go on all the same.
#[derive(Debug, Default)]
pub(crate) struct Departure {
    gone: AtomicBool,
    bound: AtomicBool,
}

impl Departure {
    /// Returns whether the caller has left.
    pub(crate) fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// Notes that the caller has left.
    pub(crate) fn leave(&self) {
        self.gone.store(true, Ordering::Release);
    }

    /// Returns whether a request that must not repeat is at a server. Nobody could tell how far it
    /// came if it were broken off.
    pub(crate) fn is_bound(&self) -> bool {
        self.bound.load(Ordering::Acquire)
    }

    /// Sets whether a request that must not repeat is at a server.
    pub(crate) fn bind(&self, bound: bool) {
        self.bound.store(bound, Ordering::Release);
    }
}
