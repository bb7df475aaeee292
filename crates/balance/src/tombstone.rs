//! Tombstones of servers that are no longer listed.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::server::Key;

/// How long after the removal of a server late entries of it are ignored.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Servers that are no longer listed, with the sequence number of their last entry and the time of
/// their removal.
///
/// An older entry may be read late and must not add its server again.
#[derive(Debug, Default)]
pub struct Tombstones(HashMap<Key, (u64, Instant)>);

impl Tombstones {
    /// Records the removal of a server whose last known entry has the number `sequence`.
    pub fn insert(&mut self, key: Key, sequence: u64, now: Instant) {
        self.0.insert(key, (sequence, now));
    }

    /// Returns whether the entry numbered `sequence` was written before the server was removed.
    pub fn covers(&self, key: Key, sequence: u64) -> bool {
        let tombstone = self.0.get(&key);
        tombstone.is_some_and(|(last, _)| sequence <= *last)
    }

    /// Drops tombstones of servers that were removed long ago.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, (_, at)| now.since(*at) < TOMBSTONE_TTL);
    }
}
