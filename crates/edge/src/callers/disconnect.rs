//! Whether a caller has disconnected, and whether its request must run to completion.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a caller has disconnected, and whether its request must run to completion.
#[derive(Debug, Default)]
pub(crate) struct Disconnect {
    disconnected: AtomicBool,
    must_finish: AtomicBool,
}

impl Disconnect {
    /// Returns whether the caller has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Acquire)
    }

    /// Marks the caller as disconnected.
    pub(crate) fn set_disconnected(&self) {
        self.disconnected.store(true, Ordering::Release);
    }

    /// Returns whether a non-idempotent request is at a server. If it were cancelled, it would be
    /// unknown how far it had run.
    pub(crate) fn must_finish(&self) -> bool {
        self.must_finish.load(Ordering::Acquire)
    }

    /// Sets whether a non-idempotent request is at a server.
    pub(crate) fn set_must_finish(&self, must_finish: bool) {
        self.must_finish.store(must_finish, Ordering::Release);
    }
}
