//! Settings of the backend stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// How a server behaves after a start. It is cold until both `requests` and `time` have passed.
#[derive(Clone, Copy, Debug)]
pub struct Warmup {
    /// Requests that a cold server completes before it is warm.
    pub requests: u64,
    /// Minimum time that a server is cold.
    pub time: Duration,
    /// Slowdown of a request on a cold server, multiplied by the number of requests in flight.
    pub factor: f64,
}

/// Settings of the backend stand-in.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on. Port 0 selects a free port.
    pub address: SocketAddr,
    /// Version reported in the `X-Version` response header.
    pub version: String,
    /// Requests executed concurrently. Further requests queue.
    pub slots: usize,
    /// Limit on open connections. Further connections are closed immediately.
    pub max_connections: usize,
    /// Time to execute one request.
    pub service_time: Duration,
    /// Delay before the first request of a new connection is read.
    pub connect_delay: Duration,
    /// Time that a request for health or load takes and occupies a slot.
    pub probe_time: Duration,
    /// Behaviour after a start, until the server is warm.
    pub warmup: Warmup,
    /// Time for which connections are refused after a crash.
    pub restart_delay: Duration,
    /// A request crashes the server if its target or a header value contains this text, or if a
    /// header has it as its name.
    pub crash_marker: String,
    /// Minimum age of the figures reported by `/load`.
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
