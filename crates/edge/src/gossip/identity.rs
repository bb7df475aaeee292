//! Identity of an instance.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One run of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// Random id of this run; changes with every start.
    pub(crate) boot: u64,
    /// The address of its peer port.
    pub(crate) address: SocketAddr,
    /// The data centre that it runs in.
    pub(crate) centre: String,
}
