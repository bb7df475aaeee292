//! Connects the tool to the platform.

use std::net::SocketAddr;

use platform::client::Config;
use platform::Client;

/// Returns a client of the platform at `address`. Connections are made as calls need them.
pub(crate) fn open(address: SocketAddr) -> Client {
    Client::open(Config::new(address))
}
