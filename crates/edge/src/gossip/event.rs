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

/// What a server says of the requests a second that it takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Limit {
    /// It takes this many.
    Rate(f64),
    /// It names no limit any more.
    Ended,
}

impl Limit {
    /// Returns the rate, or `None` if there is no limit. A rate that no server can mean is taken as
    /// none.
    pub(crate) fn rate(self) -> Option<f64> {
        match self {
            Self::Rate(rate) => (rate.is_finite() && rate >= 0.0).then_some(rate),
            Self::Ended => None,
        }
    }
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
    /// What the server has just said of its limit, if it is or was limited: the requests a second
    /// that it takes from all instances together, or that it names none any more.
    #[serde(default)]
    pub(crate) limit: Option<Limit>,
    /// Whether the server has said that it leaves.
    #[serde(default)]
    pub(crate) leaving: bool,
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
            limit: None,
            leaving: false,
        }
    }
}
