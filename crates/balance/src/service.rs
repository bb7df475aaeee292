//! Services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A service: a kind of backend server that requests are routed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the health endpoint.
    pub health_path: String,
    /// The connections that one server takes from all instances.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// How long a server is cold after its start.
    pub warmup: Duration,
    /// The requests a second that a cold server bears.
    pub warmup_rate: f64,
}
