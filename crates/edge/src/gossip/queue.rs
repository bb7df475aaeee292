//! Requests queued for a server.

use serde::{Deserialize, Serialize};

/// The queue of one service at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueueState {
    /// The service.
    pub(crate) service: String,
    /// The priority of the most urgent request; lower is more urgent.
    #[serde(rename = "rank")]
    pub(crate) priority: u32,
    /// The number of queued requests.
    pub(crate) requests: u32,
}
