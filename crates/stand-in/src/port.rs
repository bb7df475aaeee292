//! A TCP port that stays held while connections are refused.
//!
//! A closed port could be given to another process, which would then take the stand-in's calls. So
//! the socket stays bound and is only taken out of, and put back into, the listening state.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::net::{listen, shutdown, Shutdown};

/// How often a free port is looked for.
const BIND_ATTEMPTS: usize = 16;

/// The connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A TCP port that stays held while connections are refused.
#[derive(Debug)]
pub(crate) struct Port {
    address: SocketAddr,
    listener: TcpListener,
}

impl Port {
    /// Binds and listens. Port 0 takes a free port.
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

    /// Linux keeps a port through [`Port::refuse`] only if it was named when it was bound.
    fn bind_free(address: SocketAddr) -> io::Result<Self> {
        let free = TcpListener::bind(address)?.local_addr()?;
        Self::bind(free)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns another handle of the listening socket.
    pub(crate) fn listener(&self) -> io::Result<TcpListener> {
        self.listener.try_clone()
    }

    /// Refuses connections from now on. Those that were not accepted are reset.
    pub(crate) fn refuse(&self) -> io::Result<()> {
        Ok(shutdown(&self.listener, Shutdown::Read)?)
    }

    /// Takes connections again.
    pub(crate) fn listen(&self) -> io::Result<()> {
        Ok(listen(&self.listener, BACKLOG)?)
    }
}
