//! All that matters at one instant.

use crate::grant::{Instance, Roster, Row};

/// All that matters at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The object `roster` in the store.
    pub store: Roster,
    /// The instances.
    pub instances: Row<Instance>,
    /// How many ticks clocks may lag yet.
    pub drift: u8,
    /// Whether the epoch of an instance has fallen.
    pub fell: bool,
}
