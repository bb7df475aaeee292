//! Why the roster stays as it is.

use thiserror::Error;

/// Why no new roster may be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Blocker {
    /// Nobody joins, leaves or has to be removed.
    #[error("nothing to change")]
    Unchanged,
    /// Too few members of this epoch or the one before have seen this epoch.
    #[error("the present epoch is not settled")]
    Unsettled,
    /// Too few members were heard from: this instance may be the one that is cut off.
    #[error("a majority of the members is silent")]
    Isolated,
    /// This instance is not a member, and somebody else is.
    #[error("not a member")]
    NotMember,
}
