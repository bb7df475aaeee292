//! What a request asks of the table, and what it is told.

use std::time::Duration;

use clock::Instant;

use crate::rollout::Filter;
use crate::server::Key;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// The versions that the request may use.
    pub versions: &'a Filter,
    /// The servers that it was sent to already.
    pub tried: &'a [Key],
    /// How long the work takes on an idle server, as far as is known.
    pub work: Duration,
    /// Decides between servers that are equally good.
    pub seed: u64,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has no server that may be used at all.
    NoServers,
    /// All servers are full, or cold and fed enough.
    NoCapacity,
}

/// A server that may be chosen, and what it would cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The cost in seconds.
    pub cost: f64,
    /// The server.
    pub choice: Choice,
}

/// A server that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub key: Key,
    /// When the answer is expected, from now.
    pub expected: Duration,
    /// How much of that is due to the age of the report: a fresh one would find the server, or
    /// another one, better by about as much.
    pub staleness_penalty: Duration,
    /// The requests known to be there.
    pub requests: u32,
    /// The age of the newest report, if there is one.
    pub report_age: Option<Duration>,
    /// Whether the server is cold.
    pub cold: bool,
    /// The other instances that had requests waiting for the service.
    pub waiting_instances: u32,
    /// Whether the request would slow down those that run there.
    pub is_at_knee: bool,
    /// When a request last began or ended there, as far as is known.
    pub changed_at: Instant,
    /// Tells this state of the server from others, in the same way at all instances.
    pub state_id: u64,
}
