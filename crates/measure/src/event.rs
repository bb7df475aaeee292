//! Events of the simulation and their order.

use std::cmp::Ordering;

use clock::Instant;

use crate::call::Attempt;
use crate::scenario::Change;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum Event<M> {
    /// A call reaches its entry instance.
    Arrival(usize),
    /// A request reaches its backend server.
    Request(Attempt),
    /// A backend server completes a request.
    Done(Attempt),
    /// A response reaches the instance that sent the request.
    Answer(Attempt),
    /// The site changes.
    Change(Change),
    /// A message or a timer of the balancer.
    Message(M),
}

/// An event and its time. The order is reversed, so that a max-heap yields the earliest event
/// first.
#[derive(Clone, Debug)]
pub(crate) struct Scheduled<M> {
    pub(crate) at: Instant,
    pub(crate) order: u64,
    pub(crate) event: Event<M>,
}

impl<M> PartialEq for Scheduled<M> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<M> Eq for Scheduled<M> {}

impl<M> PartialOrd for Scheduled<M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Scheduled<M> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
