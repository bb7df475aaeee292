//! One instance.

use crate::grant::{Actor, PerInstance, Roster, Slot, Support};

/// One instance: voter, actor and entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Whether it has not crashed.
    pub alive: bool,
    /// The roster under which it votes and asks for credits.
    pub roster: Roster,
    /// Whom it supports on the duty of each member.
    pub votes: PerInstance<Support>,
    /// What it has done to act on the pool.
    pub actor: Actor,
    /// Its request as an entry.
    pub slot: Slot,
}
