//! A pool's state of a backend server, for reports and handovers.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::feedback::StartId;

/// A pool's state of a backend server, for reports and handovers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The name of the server.
    pub name: id::Server,
    /// The version that it runs.
    pub version: id::Version,
    /// The number of credits that may be live at once.
    pub allowance: u32,
    /// The number of live credits.
    pub live: u32,
    /// Whether the server may be in a cold start.
    pub cold: bool,
    /// Whether the server gets no credits because of its failures.
    pub ejected: bool,
    /// Whether the server is leaving, draining or no longer listed.
    pub leaving: bool,
    /// The recent latency of the server, or zero before its first response. Serialised in
    /// microseconds.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub latency: Duration,
    /// The start id that the server last reported, if any.
    pub start_id: Option<StartId>,
}
