//! A pool as an instance sees it.

use serde::{Deserialize, Serialize};

use super::Server;
use crate::id;

/// One service's backend servers in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Pool {
    /// The service.
    pub service: id::Service,
    /// The data centre.
    pub centre: id::Centre,
    /// The instance that grants the pool's credits; absent while nobody has the authority.
    pub owner: Option<id::Instance>,
    /// The calls that wait for a credit.
    pub waiting: u64,
    /// The backend servers. Only the owner knows them.
    pub servers: Vec<Server>,
}
