//! Routes from hosts and paths to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The share of a route's requests that a service gets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// The size of the share, relative to the other shares of the route.
    pub weight: f64,
}

/// The host in lower case and the path prefix of a route, which identify it in a configuration.
pub type Key = (String, String);

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: String,
    /// The host.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// The response-time objective.
    #[serde(rename = "aim")]
    pub objective: Duration,
    /// The maximum number of servers that one request may be sent to.
    pub max_attempts: u32,
    /// The priority, 0 being the most urgent.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// The services and their shares of the requests.
    pub shares: Vec<Share>,
    /// Whether callers need not identify themselves.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Returns what identifies the route in a configuration.
    pub fn key(&self) -> Key {
        (self.host.to_ascii_lowercase(), self.prefix.clone())
    }

    /// Returns the service of a request. `point` is a random number from 0 to 1 drawn for the
    /// request.
    pub fn service(&self, point: f64) -> Option<&str> {
        let usable = || self.shares.iter().filter(|s| s.weight > 0.0);
        let total: f64 = usable().map(|s| s.weight).sum();
        let mut remaining = point * total;
        for share in usable() {
            remaining -= share.weight;
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        usable().next_back().map(|s| s.service.as_str())
    }
}
