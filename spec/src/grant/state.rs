//! All that matters at one instant.

use crate::grant::{Instance, PerInstance, Roster};

/// All that matters at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The object `roster` in the store.
    pub stored_roster: Roster,
    /// The instances.
    pub instances: PerInstance<Instance>,
    /// How many ticks clocks may lag yet.
    pub drift_left: u8,
    /// Whether the epoch of an instance has fallen.
    pub epoch_decreased: bool,
}
