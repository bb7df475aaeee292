//! A member of a roster.

use std::net::SocketAddr;

use contract::id;
use serde::{Deserialize, Serialize};

/// A member of a roster: one run of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of this run of the instance.
    pub name: id::Instance,
    /// The address for other instances.
    pub address: SocketAddr,
    /// The data centre of the instance.
    pub centre: id::Centre,
}
