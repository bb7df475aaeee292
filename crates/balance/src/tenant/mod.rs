//! Tenants: the organisations whose callers share the servers.

mod digest;
mod index;

use serde::{Deserialize, Serialize};

pub use digest::{Digest, MAX_KEY_BYTES};
pub use index::{Identity, Index};

/// A tenant. The configuration names it and the digests of its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// The digests of the keys that identify its callers.
    pub keys: Vec<Digest>,
    /// The priority of its requests, 0 being the most urgent. It goes before the route's.
    pub priority: Option<u32>,
}
