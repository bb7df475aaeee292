//! Whom a member supports.

use crate::grant::Index;

/// Support for one actor on one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Support {
    /// The actor.
    pub actor: Index,
    /// The number of handovers that the actor had given when it asked.
    pub term: u8,
    /// How long the support lasts yet.
    pub left: u8,
}
