//! Requests that wait for a server.

use serde::{Deserialize, Serialize};

/// The requests that an instance has waiting for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Wait {
    /// The service.
    pub(crate) service: String,
    /// The rank of the most urgent one.
    pub(crate) rank: u32,
    /// How many there are.
    pub(crate) requests: u32,
}
