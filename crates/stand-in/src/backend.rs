//! A stand-in for a backend server: fragile, and faulty on demand.
//!
//! An answer's body is an echo: the request line's method and target, a line with the
//! `Idempotency-Key` or `-`, and then the request's body. See [`echo`].
//!
//! Invariants:
//!
//! - An execution is counted before its work starts, so that no answer, lost or not, goes uncounted.
//! - A request that was shed, or left before it had a slot, is never counted as executed.
//! - What belongs to one start of the server lives in one `Life` and ends with it.

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
    /// Binds the stand-in and serves. Port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
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

    /// Returns the counts so far. They outlive crashes.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Returns how often a request with the idempotency key `key` was executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.state.executions(key)
    }

    /// Returns the id of the present start.
    pub fn start_id(&self) -> String {
        self.state.incarnation().id().to_owned()
    }

    /// Multiplies the service time by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.state
            .update_settings(|settings| settings.slowdown = factor);
    }

    /// Begins or ends a drain: answers say `Connection: close`, and new work is counted.
    pub fn set_leaving(&self, leaving: bool) {
        self.state
            .update_settings(|settings| settings.leaving = leaving);
    }

    /// Begins or ends shedding: every request is answered 503 without being executed.
    pub fn set_shedding(&self, shedding: bool) {
        self.state
            .update_settings(|settings| settings.shedding = shedding);
    }

    /// Sets what `/health` says; `None` for the truth.
    pub fn set_health(&self, healthy: Option<bool>) {
        self.state
            .update_settings(|settings| settings.health = healthy);
    }

    /// Sets the faults. The first rule that fires decides.
    pub fn set_rules(&self, rules: Vec<Rule>) {
        self.state.set_rules(rules);
    }

    /// Crashes: drops all connections, refuses for the configured time and restarts cold.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Restarts without a pause: drops no connection, but is cold and has a new start id.
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
