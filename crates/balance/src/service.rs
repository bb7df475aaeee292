//! Services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A service: a group of interchangeable backend servers to which requests are routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the health endpoint.
    pub health_path: String,
    /// The maximum number of connections to one server from all instances together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// How long a server is cold after its start.
    pub warmup: Duration,
    /// The requests a second that a cold server can take.
    pub warmup_rate: f64,
}
