//! What a pool holds of a backend server, for reports.

use std::time::Duration;

use contract::id;

/// What a pool holds of a backend server, for reports.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The name of the server.
    pub name: id::Server,
    /// The version that it runs.
    pub version: id::Version,
    /// The number of credits that may be live.
    pub allowance: u32,
    /// The number of live credits.
    pub live: u32,
    /// Whether the server may be in a cold start.
    pub cold: bool,
    /// Whether the server gets no credits because of failures.
    pub ejected: bool,
    /// Whether the server is leaving, draining or no longer listed.
    pub leaving: bool,
    /// The recent latency of the server, and zero before its first answer.
    pub latency: Duration,
}
