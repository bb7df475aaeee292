//! The sort key of servers with room.

use super::fleet::Key;

/// The sort key of servers with room: the least loaded and fastest first, then the least recently
/// used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The relative load with one more request, weighted by the server's slowness.
    pub(crate) cost: u64,
    /// The sequence number of the last grant.
    pub(crate) sequence: u64,
    /// The key of the server.
    pub(crate) key: Key,
}
