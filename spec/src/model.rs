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
    type Fault: Debug + PartialEq;

    /// Returns the first state.
    fn start(&self) -> Self::State;

    /// Returns each event that can happen in `state`, with the state after it.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// Returns the invariant that `state` breaks.
    fn fault(&self, state: &Self::State) -> Option<Self::Fault>;
}
