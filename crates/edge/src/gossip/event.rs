//! Changes at a backend server.

use std::time::Duration;

use balance::report::Report;
use balance::server::Key;
use serde::{Deserialize, Serialize};

/// How a request ended, as far as it concerns the server's health and load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RequestOutcome {
    /// The server responded.
    Answered,
    /// The request failed.
    Failed,
    /// The server rejected the request without running it, as it had no capacity.
    Shed,
    /// The server could not be reached.
    Unreached,
}

/// A change at a backend server, as seen by one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Event {
    /// The server.
    pub(crate) server: Key,
    /// The requests that the sender now has in flight there.
    #[serde(rename = "held")]
    pub(crate) in_flight: u32,
    /// The load that the server has just reported.
    pub(crate) report: Option<Report>,
    /// How a request has just ended.
    #[serde(rename = "end")]
    pub(crate) outcome: Option<RequestOutcome>,
    /// After a probe: how long the server expects to stay cold.
    pub(crate) warmup_left: Option<Duration>,
}

impl Event {
    /// Returns an event that carries only the number of requests in flight.
    pub(crate) fn in_flight(server: Key, in_flight: u32) -> Self {
        Self {
            server,
            in_flight,
            report: None,
            outcome: None,
            warmup_left: None,
        }
    }
}
