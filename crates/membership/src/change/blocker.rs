//! Reasons not to write a new roster.

use thiserror::Error;

/// The reason why no new roster may be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Blocker {
    /// Nobody joins, leaves or has to be removed.
    #[error("nothing to change")]
    Unchanged,
    /// This epoch has not been seen by majorities of its members and of the previous epoch's
    /// members.
    #[error("the current epoch is not settled")]
    Unsettled,
    /// A majority of the members is silent: this instance may be the one that is partitioned.
    #[error("a majority of the members is silent")]
    Isolated,
    /// This instance is not a member, while others are.
    #[error("not a member")]
    NotMember,
}
