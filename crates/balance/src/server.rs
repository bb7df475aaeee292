//! Backend servers as the store lists them.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Identifies one start of one server within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

/// A backend server as the store lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The id that the server answers to.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub centre: String,
    /// The version of its software.
    pub version: String,
    /// The requests that it works on at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How long it stays cold, counted from when the entry was written.
    pub warmup_left: Duration,
    /// Counts what this start of the server has written. A lower count is older.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// When it started, in milliseconds of Unix time. An id that starts again has another value.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

impl Server {
    /// Returns the key of this start of the server.
    pub fn key(&self) -> Key {
        let mut hasher = DefaultHasher::new();
        (&self.id, self.started_at_ms, self.address).hash(&mut hasher);
        Key(hasher.finish())
    }
}
