//! Load balancers: the interface to the simulation, and the compared implementations.

pub mod choice;
pub mod credit;
pub mod report;
pub mod rotation;

use crate::call::Attempt;
use crate::scenario::Change;
use crate::world::World;

/// Chooses the backend server of each call.
pub trait Balancer {
    /// The messages and timers of the balancer.
    type Message;

    /// Prepares for the first call.
    fn start(&mut self, _world: &mut World<Self::Message>) {}

    /// Handles a call that has reached its entry instance.
    fn arrive(&mut self, world: &mut World<Self::Message>, call: usize);

    /// Handles the response to a request.
    fn answer(&mut self, _world: &mut World<Self::Message>, _attempt: &Attempt) {}

    /// Handles a message or timer.
    fn receive(&mut self, _world: &mut World<Self::Message>, _message: Self::Message) {}

    /// Handles a change of the site. Balancers react only to changes made by operators, not to
    /// unannounced restarts and slowdowns.
    fn change(&mut self, world: &mut World<Self::Message>, change: Change);
}

/// Removes the servers of a data centre that goes out of service from `servers`, or lists all
/// servers again when one returns.
pub(crate) fn update_servers<M>(servers: &mut Vec<usize>, world: &World<M>, change: Change) {
    let site = &world.site;
    match change {
        Change::Leave(centre) => servers.retain(|s| site.centre_of_server(*s) != centre),
        Change::Return(_) => *servers = (0..site.servers).collect(),
        Change::Slow(..) | Change::Restart(_) | Change::Replace(_) => (),
    }
}
