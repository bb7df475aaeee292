//! A record of the log.

use crate::claim::Index;

/// A record of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// The owner takes over.
    Takeover(Index),
    /// The owner claims the key for a call.
    Claim(Index, Index),
    /// The owner takes back the claim of a call, which never starts.
    Release(Index, Index),
}
