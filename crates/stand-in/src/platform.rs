//! A stand-in for the platform's object API, in memory.
//!
//! Invariants:
//!
//! - All paths share one revision counter, so a path never has the same revision twice.
//! - A write takes effect, if at all, before its response is sent, delayed or dropped.
//! - A change to a list becomes visible only after the configured lag.

mod control;
mod fault;
mod listing;
mod objects;
mod rate;
mod serve;
mod server;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use platform::{Instance, Server};
use smol::future::block_on;

pub use fault::{Counts, Outage};
pub use objects::Objects;

use crate::port::Port;
use fault::Faults;
use listing::Listing;
use rate::Limiter;
use server::Handle;

/// State shared by the requests and the handle.
#[derive(Debug)]
struct State {
    port: Port,
    server: Mutex<Option<Handle>>,
    objects: Objects,
    faults: Faults,
    reads: Limiter,
    writes: Limiter,
    servers: Listing<Server>,
    instances: Listing<Instance>,
}

impl State {
    /// Starts the server unless it is already running.
    fn start(self: &Arc<Self>) -> io::Result<()> {
        let mut server = self.server.lock();
        if server.is_none() {
            let listener = self.port.listener()?;
            *server = Some(serve::spawn(listener, self)?);
        }
        Ok(())
    }

    /// Waits for the current requests to end, then refuses connections.
    async fn stop(&self) -> io::Result<()> {
        // Pending requests end when an outage begins.
        self.faults.set_outage(Some(Outage::Refuse));
        let server = self.server.lock().take();
        if let Some(server) = server {
            server.stop().await;
            self.port.refuse()?;
        }
        Ok(())
    }

    /// Begins an outage, or ends it with `None`.
    async fn set_outage(self: &Arc<Self>, outage: Option<Outage>) -> io::Result<()> {
        if outage == Some(Outage::Refuse) {
            return self.stop().await;
        }
        self.faults.set_outage(outage);
        if self.server.lock().is_none() {
            self.port.listen()?;
        }
        self.start()
    }
}

/// A running stand-in for the platform. It stops when dropped.
#[derive(Debug)]
pub struct Platform {
    state: Arc<State>,
}

impl Platform {
    /// Binds `address` and serves requests. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or served.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State {
            port: Port::bind(address)?,
            server: Mutex::default(),
            objects: Objects::default(),
            faults: Faults::default(),
            reads: Limiter::default(),
            writes: Limiter::default(),
            servers: Listing::default(),
            instances: Listing::default(),
        });
        state.start()?;
        Ok(Self { state })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.state.port.address()
    }

    /// Returns the objects, which tests can read and write without the HTTP API.
    pub fn objects(&self) -> &Objects {
        &self.state.objects
    }

    /// Begins an outage, or ends it with `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot stop or start listening.
    pub fn set_outage(&self, outage: Option<Outage>) -> io::Result<()> {
        block_on(self.state.set_outage(outage))
    }

    /// Delays every response by `delay`. A write takes effect before the delay.
    pub fn set_delay(&self, delay: Duration) {
        self.state.faults.set_delay(delay);
    }

    /// Limits the requests per second: `reads` covers reads, watches and lists, `writes` covers
    /// writes and removals. 0 means no limit. Requests over the limit wait before they take effect.
    pub fn set_rate_limits(&self, reads: u32, writes: u32) {
        self.state.reads.set_rate(reads);
        self.state.writes.set_rate(writes);
    }

    /// Withholds the responses to the next `writes` writes or removals, which still take effect.
    pub fn drop_responses(&self, writes: u64) {
        self.state.faults.drop_responses(writes);
    }

    /// Sets the delay before a later change to a list becomes visible.
    pub fn set_lag(&self, lag: Duration) {
        self.state.servers.set_lag(lag);
        self.state.instances.set_lag(lag);
    }

    /// Sets the list of backend servers.
    pub fn set_servers(&self, servers: Vec<Server>) {
        self.state.servers.set(servers);
    }

    /// Sets the list of instances.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.state.instances.set(instances);
    }

    /// Returns the counts of the requests so far.
    pub fn counts(&self) -> Counts {
        self.state.faults.counts()
    }

    /// Stops the server, which then refuses connections.
    pub fn stop(&self) {
        // If the socket cannot refuse connections, dropping the stand-in closes it.
        let _ = block_on(self.state.stop());
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}
