//! A stand-in for a backend server that is easily overloaded and injects faults on demand.
//!
//! The response body echoes the request: a line with the method and target, a line with the
//! `Idempotency-Key` or `-`, and the request body. See [`echo`].
//!
//! Invariants:
//!
//! - An execution is counted before its work starts, so it is counted even if its response is lost.
//! - A request that is shed, or cancelled before it gets a slot, is never counted as executed.
//! - Everything that a crash discards belongs to one `Incarnation`, and ends with it.

mod config;
mod connection;
mod control;
mod counts;
mod execution;
mod fault;
mod incarnation;
mod listen;
mod report;
mod request;
mod response;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use smol::Task;

pub use config::{Config, Warmup};
pub use counts::Counts;
pub use fault::{Fault, Rule};
pub use report::Report;
pub use response::echo;

use crate::port::Port;
use state::State;

/// A running stand-in for a backend server. It stops when dropped.
#[derive(Debug)]
pub struct Backend {
    state: Arc<State>,
    _listening: Task<()>,
}

impl Backend {
    /// Binds the configured address and serves requests. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(config: Config) -> io::Result<Self> {
        let port = Port::bind(config.address)?;
        let address = port.address();
        let state = Arc::new(State::new(Config { address, ..config }));
        let listening = smol::spawn(listen::run(Arc::clone(&state), port));
        Ok(Self {
            state,
            _listening: listening,
        })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.state.config.address
    }

    /// Returns the counts so far. Crashes do not reset them.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Returns the number of executed requests with the idempotency key `key`.
    pub fn executions(&self, key: &str) -> u64 {
        self.state.executions(key)
    }

    /// Returns the start id of the current incarnation.
    pub fn start_id(&self) -> String {
        self.state.incarnation().id().to_owned()
    }

    /// Multiplies the service time by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.state
            .update_settings(|settings| settings.slowdown = factor);
    }

    /// Begins or ends a drain. While draining, responses carry `Connection: close` and
    /// `Chivewheel-Leaving`, and new requests are counted in [`Counts::after_leaving`].
    pub fn set_leaving(&self, leaving: bool) {
        self.state
            .update_settings(|settings| settings.leaving = leaving);
    }

    /// Begins or ends shedding. While shedding, every request gets a 503 and is not executed.
    pub fn set_shedding(&self, shedding: bool) {
        self.state
            .update_settings(|settings| settings.shedding = shedding);
    }

    /// Overrides the health reported by `/health`; `None` reports the actual health.
    pub fn set_health(&self, healthy: Option<bool>) {
        self.state
            .update_settings(|settings| settings.health = healthy);
    }

    /// Replaces the fault rules. The first rule that applies to a request determines its fault.
    pub fn set_rules(&self, rules: Vec<Rule>) {
        self.state.set_rules(rules);
    }

    /// Crashes: drops all connections, refuses new ones for [`Config::restart_delay`] and restarts
    /// cold.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Restarts cold with a new start id, without a delay and without dropping connections.
    pub fn restart_cold(&self) {
        self.state.restart_cold();
    }

    /// Stops the server and drops all connections.
    pub fn stop(self) {}
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.state.stop();
    }
}
