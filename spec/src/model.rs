//! What can be explored.

use std::fmt::Debug;
use std::hash::Hash;

/// A protocol as a transition system.
pub trait Model {
    /// All that matters at one instant.
    type State: Clone + Debug + Eq + Hash;
    /// What can happen.
    type Event: Clone + Debug;
    /// What must not happen.
    type Violation: Debug + PartialEq;

    /// Returns the first state.
    fn initial_state(&self) -> Self::State;

    /// Returns each event that can happen in `state`, with the state after it.
    fn transitions(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// Returns the invariant that `state` breaks.
    fn violation(&self, state: &Self::State) -> Option<Self::Violation>;
}
