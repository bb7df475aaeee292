//! Backend servers as the store lists them.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Identifies one incarnation (start) of one server within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

/// A backend server as the store lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The id by which the server identifies itself.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub centre: String,
    /// The version of its software.
    pub version: String,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining, and takes no new requests.
    pub draining: bool,
    /// How long it stays cold, from the time when the entry was written.
    pub warmup_left: Duration,
    /// Numbers the entries that this incarnation has written. A lower number is older.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// When this incarnation started, in milliseconds of Unix time. A restart of the same id has
    /// another value.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

impl Server {
    /// Returns the key of this incarnation of the server.
    pub fn key(&self) -> Key {
        let mut hasher = DefaultHasher::new();
        (&self.id, self.started_at_ms, self.address).hash(&mut hasher);
        Key(hasher.finish())
    }
}
