//! Transition systems that can be explored.

use std::fmt::Debug;
use std::hash::Hash;

/// A protocol as a transition system.
pub trait Model {
    /// The global state of the system.
    type State: Clone + Debug + Eq + Hash;
    /// A transition from one state to another.
    type Event: Clone + Debug;
    /// An invariant that a state can violate.
    type Violation: Debug + PartialEq;

    /// Returns the state in which every trace begins.
    fn initial_state(&self) -> Self::State;

    /// Returns each event that is enabled in `state`, with the state after it.
    fn transitions(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// Returns the invariant that `state` violates, if any.
    fn violation(&self, state: &Self::State) -> Option<Self::Violation>;
}
