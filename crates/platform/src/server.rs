//! Backend servers in the platform's list.

use std::net::SocketAddr;

use contract::id;
use serde::{Deserialize, Serialize};

/// The health of a backend server or instance as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It is live.
    Live,
    /// It is leaving: it finishes its current work and should get no new work.
    Leaving,
}

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The server's name on the platform.
    pub name: id::Server,
    /// The address at which the server accepts calls.
    pub address: SocketAddr,
    /// The service to which it belongs.
    pub service: id::Service,
    /// The version that it runs.
    pub version: id::Version,
    /// The data centre that it is in.
    pub centre: id::Centre,
    /// The health reported by the platform.
    pub health: Health,
}
