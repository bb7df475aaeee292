//! What a returned credit says of the backend server that it was for.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::quarantine::Fingerprint;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer arrived, and it is no server error.
    Answered,
    /// The answer is a server error (status 5xx).
    Failed,
    /// The server refused the request because of its load.
    Shed,
    /// The connection ended before an answer.
    Crashed,
    /// No connection could be made.
    Unreachable,
    /// No answer arrived within the route's time limit.
    TimedOut,
    /// The caller went away before the answer.
    Abandoned,
}

/// Identifies one run of a backend server's process. It changes when the server restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartId(pub u64);

/// What one attempt showed of the backend server that it went to.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feedback {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time from the dispatch to the end of the attempt, in microseconds when serialised.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub latency: Duration,
    /// The run of the server that answered, where the answer names it.
    pub start_id: Option<StartId>,
    /// The route of the request.
    pub route: id::Route,
    /// The digest of the request.
    pub fingerprint: Option<Fingerprint>,
    /// Whether the answer says that the server is draining.
    pub draining: bool,
}
