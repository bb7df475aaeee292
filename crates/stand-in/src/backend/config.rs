//! Settings of the backend stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// How a server behaves after a start. It is cold until both limits have passed.
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    /// The number of requests that it answers cold.
    pub requests: u64,
    /// The time that it is cold.
    pub time: Duration,
    /// How much longer a request takes, times the number of requests at hand.
    pub factor: f64,
}

/// Settings of the backend stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen.
    pub address: SocketAddr,
    /// The version that answers name in `X-Version`.
    pub version: String,
    /// The requests executed at once. Others queue.
    pub slots: usize,
    /// The connections kept at once. Others are closed at once.
    pub max_connections: usize,
    /// How long a request takes.
    pub service_time: Duration,
    /// How long a new connection waits before its first request is read.
    pub connect_delay: Duration,
    /// How long a request for health or load takes, and takes up a slot.
    pub probe_time: Duration,
    /// How the server behaves after a start.
    pub warmup: Warmup,
    /// How long connections are refused after a crash.
    pub restart_delay: Duration,
    /// A request whose target or headers contain this text crashes the server.
    pub crash_marker: String,
    /// The least age of the figures in `/load`.
    pub report_lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            version: "v1".to_owned(),
            slots: 4,
            max_connections: 260,
            service_time: Duration::from_millis(5),
            connect_delay: Duration::ZERO,
            probe_time: Duration::ZERO,
            warmup: Warmup {
                requests: 0,
                time: Duration::ZERO,
                factor: 4.0,
            },
            restart_delay: Duration::from_millis(200),
            crash_marker: "crash-mark".to_owned(),
            report_lag: Duration::from_millis(500),
        }
    }
}
