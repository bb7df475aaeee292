//! A period in which a server gets no credits.

use clock::Instant;

/// Why a server is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Too many consecutive failures.
    Failures,
    /// The server reported that it is draining.
    Draining,
}

/// A period in which a server gets no credits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    /// Why the server is paused.
    pub(crate) cause: Cause,
    /// When the pause ends.
    pub(crate) until: Instant,
}
