//! Feedback about a backend server, returned with the credit of an attempt.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::quarantine::Fingerprint;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// A complete response arrived, and it is not a server error.
    Answered,
    /// The response is a server error (status 5xx).
    Failed,
    /// The server refused the request because of its load.
    Shed,
    /// The connection ended before a response.
    Crashed,
    /// No connection could be established.
    Unreachable,
    /// No response arrived within the route's time limit.
    TimedOut,
    /// The caller disconnected before the response.
    Abandoned,
}

/// Identifies one run of a backend server's process; it changes when the server restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartId(pub u64);

/// The result of one attempt, as feedback about the backend server that it went to.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feedback {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time from the dispatch to the end of the attempt. Serialised in microseconds.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub latency: Duration,
    /// The run of the server that responded, if the response names it.
    pub start_id: Option<StartId>,
    /// The route of the request.
    pub route: id::Route,
    /// The digest of the request.
    pub fingerprint: Option<Fingerprint>,
    /// Whether the response reports that the server is draining.
    pub draining: bool,
}
