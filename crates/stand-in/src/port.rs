//! A TCP port that stays reserved while it refuses connections.
//!
//! If the port were closed, another process could bind it and receive the stand-in's calls. The
//! socket therefore stays bound and only leaves and re-enters the listening state.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::net::{listen, shutdown, Shutdown};

/// Attempts to bind a free port. Another process may bind the port that the system chose first.
const BIND_ATTEMPTS: usize = 16;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A TCP port that stays reserved while it refuses connections.
#[derive(Debug)]
pub(crate) struct Port {
    address: SocketAddr,
    listener: TcpListener,
}

impl Port {
    /// Binds `address` and listens. Port 0 selects a free port.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        if address.port() != 0 {
            let listener = TcpListener::bind(address)?;
            return Ok(Self { address, listener });
        }
        let mut bound = Self::bind_free(address);
        for _ in 1..BIND_ATTEMPTS {
            if bound.is_ok() {
                break;
            }
            bound = Self::bind_free(address);
        }
        bound
    }

    /// Binds a free port by its number: Linux keeps a port reserved during [`Port::refuse`] only if
    /// the bind named it.
    fn bind_free(address: SocketAddr) -> io::Result<Self> {
        let free = TcpListener::bind(address)?.local_addr()?;
        Self::bind(free)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns another handle to the listening socket.
    pub(crate) fn listener(&self) -> io::Result<TcpListener> {
        self.listener.try_clone()
    }

    /// Refuses new connections and resets those not yet accepted.
    pub(crate) fn refuse(&self) -> io::Result<()> {
        Ok(shutdown(&self.listener, Shutdown::Read)?)
    }

    /// Listens for connections again.
    pub(crate) fn listen(&self) -> io::Result<()> {
        Ok(listen(&self.listener, BACKLOG)?)
    }
}
