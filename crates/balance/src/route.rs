//! Routes from hosts and paths to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service that gets the part.
    pub service: String,
    /// The size of the part relative to the other parts.
    pub weight: f64,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The response-time objective.
    #[serde(rename = "aim")]
    pub objective: Duration,
    /// The number of servers that one request may be sent to.
    pub max_attempts: u32,
    /// The rank, 0 being the most urgent.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// The services, in parts of the requests.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns the service of a request that has drawn `point`, from 0 to 1.
    pub fn service(&self, point: f64) -> Option<&str> {
        let usable = || self.shares.iter().filter(|s| s.weight > 0.0);
        let total: f64 = usable().map(|s| s.weight).sum();
        let mut rest = point * total;
        for share in usable() {
            rest -= share.weight;
            if rest < 0.0 {
                return Some(&share.service);
            }
        }
        usable().next_back().map(|s| s.service.as_str())
    }
}
