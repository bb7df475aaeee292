//! Calls and the attempts to serve them.

use std::time::Duration;

use clock::Instant;

/// The time limit of the route.
pub const TIME_LIMIT: Duration = Duration::from_secs(1);

/// A caller's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When it reaches its entry instance.
    pub at: Instant,
    /// The entry instance.
    pub entry: usize,
    /// The time that it takes at a warm server with room.
    pub work: Duration,
}

/// One request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The call that it serves; none for a probe.
    pub call: Option<usize>,
    /// The backend server.
    pub server: usize,
    /// The data centre that it comes from.
    pub from: usize,
    /// The time that it takes at a warm server with room.
    pub work: Duration,
    /// When it was sent.
    pub sent: Instant,
    /// What the balancer knows it by.
    pub tag: u64,
    /// The run of the server that took it.
    pub start: u64,
    /// Whether the time limit passed before it ran.
    pub expired: bool,
}
