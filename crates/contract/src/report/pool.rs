//! The state of a pool.

use serde::{Deserialize, Serialize};

use super::Server;
use crate::id;

/// A pool: the backend servers of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Pool {
    /// The service.
    pub service: id::Service,
    /// The data centre.
    pub centre: id::Centre,
    /// The instance that grants the pool's credits; absent while no
    /// instance has the authority.
    pub owner: Option<id::Instance>,
    /// The number of calls waiting for a credit.
    pub waiting: u64,
    /// The backend servers. Only the owner reports them.
    pub servers: Vec<Server>,
}
