//! Requests queued for a server.

use serde::{Deserialize, Serialize};

/// The queue of one service at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueueState {
    /// The service.
    pub(crate) service: String,
    /// The rank of the first request; lower ones go first. Where the configuration has no tenants, it
    /// is the priority of the request's route.
    #[serde(rename = "rank")]
    pub(crate) priority: u32,
    /// The number of queued requests, where there are tenants those of this rank.
    pub(crate) requests: u32,
}
