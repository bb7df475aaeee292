//! Settings of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use balance::budget::Bound;

/// Limits that apply to the fleet as a whole, and times that other systems rely on.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The retry budget of a service.
    pub retries: Bound,
    /// How long the process has from the request to stop until it is killed.
    pub grace: Duration,
    /// How long keys are used after the data centre last had a reader that reaches the store, if that is
    /// limited. A key may have been removed since.
    pub max_key_age: Option<Duration>,
}

/// The duty to report the usage of tenants, which one instance has at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageDuty {
    /// The length of the window that one report covers.
    pub window: Duration,
    /// How long after the end of its window a report is due.
    pub due_after: Duration,
    /// How long an instance holds the duty after it was granted or renewed.
    pub lease_time: Duration,
    /// How long after the sender was paused, or its link failed, its reports may not count.
    pub thaw: Duration,
    /// The address that receives the reports.
    pub address: SocketAddr,
    /// The most calls a second that it accepts from all instances together.
    pub calls_per_second: f64,
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub name: String,
    /// The data centre that it runs in.
    pub centre: String,
    /// The address of the port for callers.
    pub callers: SocketAddr,
    /// The address of the readiness check for the front balancer.
    pub ready: SocketAddr,
    /// The address for other instances, over UDP and TCP. All instances use the same port.
    pub peers: SocketAddr,
    /// The address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Addresses of instances through which this one joins its data centre.
    pub seeds: Vec<SocketAddr>,
    /// The most connections of callers that may be open.
    pub max_connections: usize,
    /// The memory that bodies of requests and responses may take together while they are received,
    /// in bytes.
    pub body_memory_bytes: usize,
    /// Limits that apply to the fleet as a whole.
    pub bounds: Bounds,
    /// The duty to report the usage of tenants, if there is one.
    pub usage: Option<UsageDuty>,
}
