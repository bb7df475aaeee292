//! Who an instance is.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One start of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// Tells this start of the instance from all others.
    pub(crate) boot: u64,
    /// Where it is answered.
    pub(crate) address: SocketAddr,
    /// The data centre that it runs in.
    pub(crate) centre: String,
}
