//! A stand-in for the platform's object API, in memory.
//!
//! Invariants:
//!
//! - Revisions come from one counter for all paths, so that none is used twice at a path.
//! - A write that takes effect does so before its answer is sent, delayed or lost.
//! - The lists lag: a list that was set is shown only after the lag has passed.

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

/// What the requests and the handle share.
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
    /// Serves unless it does already.
    fn start(self: &Arc<Self>) -> io::Result<()> {
        let mut server = self.server.lock();
        if server.is_none() {
            let listener = self.port.listener()?;
            *server = Some(serve::spawn(listener, self)?);
        }
        Ok(())
    }

    /// Refuses connections, once the present requests have ended.
    async fn stop(&self) -> io::Result<()> {
        // Waiting requests end at an outage.
        self.faults.set_outage(Some(Outage::Refuse));
        let server = self.server.lock().take();
        if let Some(server) = server {
            server.stop().await;
            self.port.refuse()?;
        }
        Ok(())
    }

    /// Sets the outage, or ends it with `None`.
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
    /// Binds the stand-in to `address` and serves. Port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
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

    /// Returns the objects, which a test may read and write past the API.
    pub fn objects(&self) -> &Objects {
        &self.state.objects
    }

    /// Begins an outage, or ends it with `None`.
    ///
    /// # Errors
    ///
    /// Fails where the socket cannot stop or start to listen.
    pub fn set_outage(&self, outage: Option<Outage>) -> io::Result<()> {
        block_on(self.state.set_outage(outage))
    }

    /// Delays every answer by `delay`. A write takes effect before the delay.
    pub fn set_delay(&self, delay: Duration) {
        self.state.faults.set_delay(delay);
    }

    /// Sets how many reads, watches and lists, and how many writes, are taken a second; 0 for no
    /// limit. Calls beyond that wait before they have any effect.
    pub fn set_rate_limits(&self, reads: u32, writes: u32) {
        self.state.reads.set_rate(reads);
        self.state.writes.set_rate(writes);
    }

    /// Keeps back the answers of the next `writes` writes, which take effect.
    pub fn drop_responses(&self, writes: u64) {
        self.state.faults.drop_responses(writes);
    }

    /// Sets how long a change of a list stays unseen.
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

    /// Stops the server: connections are refused from then on.
    pub fn stop(&self) {
        // A socket that cannot be told to refuse is closed when the stand-in is dropped.
        let _ = block_on(self.state.stop());
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}
