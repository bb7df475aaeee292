//! The state of one instance.

use crate::grant::{Actor, PerInstance, Roster, Slot, Support};

/// The state of one instance as voter, actor and entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Whether it is running; `false` after a crash.
    pub alive: bool,
    /// The roster under which it votes and requests credits.
    pub roster: Roster,
    /// The actor that it supports on the duty of each member.
    pub votes: PerInstance<Support>,
    /// Its state as a potential actor on the pool.
    pub actor: Actor,
    /// Its request as an entry instance.
    pub slot: Slot,
}
