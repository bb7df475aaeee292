//! A time in which a server gets no credits.

use clock::Instant;

/// Why a server gets no credits for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It failed too often in a row.
    Failures,
    /// It said that it is draining.
    Draining,
}

/// A time in which a server gets no credits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    /// Why.
    pub(crate) cause: Cause,
    /// When the time ends.
    pub(crate) until: Instant,
}
