//! Names of pools.

use std::fmt;

use contract::id;
use serde::{Deserialize, Serialize};

/// The name of a pool: a service's backend servers in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// The service.
    pub service: id::Service,
    /// The data centre.
    pub centre: id::Centre,
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.centre)
    }
}
