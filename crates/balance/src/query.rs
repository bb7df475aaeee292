//! The input and output of choosing a server.

use std::time::Duration;

use clock::Instant;

use crate::rollout::Filter;
use crate::server::Key;

/// The requirements of a request.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// The versions that the request may use.
    pub versions: &'a Filter,
    /// The servers that were tried already. They are not chosen again.
    pub tried: &'a [Key],
    /// The estimated duration of the request on an idle server of normal speed.
    pub work: Duration,
    /// The time until the caller's deadline. Servers that reported recently and are expected
    /// to take longer are left out.
    pub time_left: Duration,
    /// Breaks ties between servers of equal cost.
    pub seed: u64,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has no server that the request may use at all.
    NoServers,
    /// No server can take the request now: all are full, unreachable, awaiting a probe, or limited
    /// while they are cold.
    NoCapacity,
    /// All servers that the request may use have asked for a pause; the first one takes requests again
    /// at this time.
    Paused(Instant),
}

/// A server that may be chosen, and its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The cost in seconds.
    pub cost: f64,
    /// The server and its estimated state.
    pub choice: Choice,
}

/// A server that was chosen, and its estimated state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub key: Key,
    /// The time until the response is expected.
    pub expected: Duration,
    /// How much of `expected` is due to the age of the report. With a fresh report, this server or
    /// another one would be expected to be faster by about as much.
    pub staleness_penalty: Duration,
    /// The estimated number of requests at the server.
    pub requests: u32,
    /// The age of the newest report, if there is one.
    pub report_age: Option<Duration>,
    /// Whether the server is cold.
    pub cold: bool,
    /// The number of other instances with requests waiting for the service.
    pub waiting_instances: u32,
    /// Whether the server would complete fewer requests a second with this one.
    pub is_saturated: bool,
    /// When a request last started or ended at the server, as far as known.
    pub changed_at: Instant,
    /// Identifies this state of the server. All instances compute the same value.
    pub state_id: u64,
}
