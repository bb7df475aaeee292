//! What a pool holds of a backend server, for reports.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::feedback::StartId;

/// What a pool holds of a backend server, for reports.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// The recent latency of the server, and zero before its first answer; in microseconds when
    /// serialised.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub latency: Duration,
    /// The run of the server that answered last, where it names itself.
    pub start_id: Option<StartId>,
}
