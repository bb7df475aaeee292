//! Calls, and the requests to backend servers that serve them.

use std::time::Duration;

use clock::Instant;

/// The time limit of the route.
pub const TIME_LIMIT: Duration = Duration::from_secs(1);

/// A caller's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// The time of arrival at its entry instance.
    pub at: Instant,
    /// The entry instance.
    pub entry: usize,
    /// The service time at a warm server with a free slot.
    pub work: Duration,
}

/// One request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The call that it serves; `None` for a probe.
    pub call: Option<usize>,
    /// The backend server.
    pub server: usize,
    /// The data centre that it is sent from.
    pub from: usize,
    /// The service time at a warm server with a free slot.
    pub work: Duration,
    /// The time at which it was sent.
    pub sent: Instant,
    /// The balancer's identifier of the request.
    pub tag: u64,
    /// The start of the server that handled it, counted from 1.
    pub start: u64,
    /// Whether the time limit expired before it ran.
    pub expired: bool,
}
