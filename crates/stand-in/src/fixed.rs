//! Server that sends the same bytes to each request, which need not be a response.

mod end;
mod response;

pub use end::End;
pub use response::Response;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use rustix::net::{shutdown, Shutdown};

/// Server that sends the same bytes to each request, and then ends the connection. It stops when
/// dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    listener: Arc<TcpListener>,
}

impl Server {
    /// Starts a server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// The error of the system if no port can be bound.
    pub fn bind(response: Response) -> io::Result<Self> {
        let listener = Arc::new(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?);
        let server = Self {
            address: listener.local_addr()?,
            listener: listener.clone(),
        };
        let response = Arc::new(response);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let response = response.clone();
                // An error means that the client has closed the connection.
                thread::spawn(move || drop(response.send(stream)));
            }
        });
        Ok(server)
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Ends the wait for connections.
        let _ = shutdown(&self.listener, Shutdown::Both);
    }
}
