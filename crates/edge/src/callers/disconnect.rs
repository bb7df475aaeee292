//! Whether a caller has left, and what has to go on all the same.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a caller has left, and what has to go on all the same.
#[derive(Debug, Default)]
pub(crate) struct Disconnect {
    disconnected: AtomicBool,
    must_finish: AtomicBool,
}

impl Disconnect {
    /// Returns whether the caller has left.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Acquire)
    }

    /// Notes that the caller has left.
    pub(crate) fn set_disconnected(&self) {
        self.disconnected.store(true, Ordering::Release);
    }

    /// Returns whether a request that must not repeat is at a server. Nobody could tell how far it
    /// came if it were broken off.
    pub(crate) fn must_finish(&self) -> bool {
        self.must_finish.load(Ordering::Acquire)
    }

    /// Sets whether a request that must not repeat is at a server.
    pub(crate) fn set_must_finish(&self, must_finish: bool) {
        self.must_finish.store(must_finish, Ordering::Release);
    }
}
