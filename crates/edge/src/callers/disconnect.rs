//! Whether a caller has disconnected, and whether its request must run to completion.

use std::sync::atomic::{AtomicBool, Ordering};

/// The place of a request among those of its connection when it is begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Place {
    /// No other request was in progress when it was read.
    #[default]
    Alone,
    /// It was read behind others, whose responses have been written.
    InTurn,
    /// The responses to earlier requests have not been written. It may only run if it is idempotent.
    Ahead,
}

/// Whether a caller has disconnected, and whether its request must run to completion.
#[derive(Debug, Default)]
pub(crate) struct Disconnect {
    disconnected: AtomicBool,
    must_finish: AtomicBool,
    place: Place,
}

impl Disconnect {
    /// Returns the state of a request with this place.
    pub(crate) fn new(place: Place) -> Self {
        Self {
            place,
            ..Self::default()
        }
    }

    /// Returns the place of the request when it was begun.
    pub(crate) fn place(&self) -> Place {
        self.place
    }

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
