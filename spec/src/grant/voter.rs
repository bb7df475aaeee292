//! A member's support for an actor.

use crate::grant::Index;

/// A member's support for one actor on one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Support {
    /// The actor.
    pub actor: Index,
    /// The number of handovers that the actor had made when it sent the heartbeat.
    pub term: u8,
    /// The number of ticks until the support expires; 0 is no support.
    pub left: u8,
}
