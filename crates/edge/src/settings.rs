//! The settings of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use balance::budget::Bound;

/// Bounds that the fleet keeps, and times that others count on.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The retries of a service.
    pub retries: Bound,
    /// How long a process has from the request to stop until it is killed.
    pub grace: Duration,
}

/// The settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub name: String,
    /// The data centre that it runs in.
    pub centre: String,
    /// Where callers are answered.
    pub callers: SocketAddr,
    /// Where the balancer in front asks whether the instance takes callers.
    pub ready: SocketAddr,
    /// Where other instances are answered, over UDP and TCP. All instances use this port.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where some other instances may be answered.
    pub seeds: Vec<SocketAddr>,
    /// The connections of callers that may be open.
    pub max_connections: usize,
    /// Bounds that the fleet keeps.
    pub bounds: Bounds,
}
