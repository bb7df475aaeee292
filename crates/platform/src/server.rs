//! A backend server in the platform's list.

use std::net::SocketAddr;

use contract::id;
use serde::{Deserialize, Serialize};

/// What the platform says of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The server is live.
    Live,
    /// The server is leaving: it finishes what it has and wants no new work.
    Leaving,
}

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The platform's name of the server.
    pub name: id::Server,
    /// Where the server takes calls.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: id::Service,
    /// The version that it runs.
    pub version: id::Version,
    /// The data centre that it is in.
    pub centre: id::Centre,
    /// What the platform says of it.
    pub health: Health,
}
