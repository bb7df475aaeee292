//! Answers of backend servers.

use std::time::Duration;

use crate::origin::Origin;

/// How a call ended, as far as the backend server answers for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered in full and without a server error.
    Success,
    /// The server failed: an error status, a broken answer or none in time.
    ///
    /// A server that sheds load, and a caller that goes away, are no failures of a version.
    Failure,
}

/// Answers of one backend server that are alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Where the answers come from.
    pub origin: Origin,
    /// How the calls ended.
    pub outcome: Outcome,
    /// The time that each answer took.
    pub latency: Duration,
    /// Whether the server was past its cold start, so that its latency tells of its version.
    pub warm: bool,
    /// The number of answers.
    pub count: u64,
}
