//! Responses of backend servers.

use std::time::Duration;

use crate::origin::Origin;

/// The outcome of a call, as far as the backend server is responsible for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete and no server error.
    Success,
    /// The server failed: an error status, a broken response, or none in time.
    ///
    /// Load shed by the server and calls cancelled by the caller are not failures of a version.
    Failure,
}

/// Responses of one backend server with the same outcome and latency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The origin of the responses.
    pub origin: Origin,
    /// How the calls ended.
    pub outcome: Outcome,
    /// The time that each response took.
    pub latency: Duration,
    /// Whether the server was past its cold start. Only then is its latency a property of its
    /// version.
    pub warm: bool,
    /// The number of responses.
    pub count: u64,
}
