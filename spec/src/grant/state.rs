//! The global state of the model.

use crate::grant::{Instance, PerInstance, Roster};

/// The global state of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The roster in the store.
    pub stored_roster: Roster,
    /// The instances.
    pub instances: PerInstance<Instance>,
    /// How many further ticks clocks may miss.
    pub drift_left: u8,
    /// Whether the epoch of any instance has decreased.
    pub epoch_decreased: bool,
}
