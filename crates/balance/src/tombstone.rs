//! Servers that are listed no more.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::server::Key;

/// How long an entry may arrive late after its server has gone.
const GONE_FOR: Duration = Duration::from_secs(60);

/// What servers that are listed no more had written, and when they went. An entry that they wrote
/// before may be read late, and must not bring them back.
#[derive(Debug, Default)]
pub struct Tombstones(HashMap<Key, (u64, Instant)>);

impl Tombstones {
    /// Notes that the server went, of which the entry numbered `count` was read last.
    pub fn insert(&mut self, key: Key, count: u64, now: Instant) {
        self.0.insert(key, (count, now));
    }

    /// Returns whether an entry of the server numbered `count` was written before it went.
    pub fn covers(&self, key: Key, count: u64) -> bool {
        let known = self.0.get(&key);
        known.is_some_and(|(last, _)| count <= *last)
    }

    /// Forgets servers that went long ago.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, (_, at)| now.since(*at) < GONE_FOR);
    }
}
