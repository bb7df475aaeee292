//! A record of the log.

use crate::claim::Index;

/// A record of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// An owner took over.
    Takeover(Index),
    /// An owner claimed the key for a call.
    Claim(Index, Index),
    /// An owner released the claim of a call, which never starts.
    Release(Index, Index),
}
