//! Instances in the platform's list.

use std::net::SocketAddr;

use contract::id;
use serde::{Deserialize, Serialize};

use crate::Health;

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of this run of the instance.
    pub name: id::Instance,
    /// The address at which the instance accepts messages from other instances.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub centre: id::Centre,
    /// The health reported by the platform.
    pub health: Health,
}
