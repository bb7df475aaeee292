//! The place of a server among those with room.

use super::fleet::Key;

/// The place of a server among those with room: the least busy and fastest first, then the one
/// whose last grant is the longest ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The load that one more request would bring, weighted by slowness.
    pub(crate) cost: u64,
    /// The turn of the last grant.
    pub(crate) sequence: u64,
    /// The server.
    pub(crate) key: Key,
}
