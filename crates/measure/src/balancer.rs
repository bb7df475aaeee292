//! Where calls go.

pub mod choice;
pub mod credit;
pub mod report;
pub mod rotation;

use crate::call::Attempt;
use crate::scenario::Change;
use crate::world::World;

/// Decides where calls go.
pub trait Balancer {
    /// Its messages and timers.
    type Message;

    /// Prepares for the first call.
    fn start(&mut self, _world: &mut World<Self::Message>) {}

    /// Takes a call that has reached its entry instance.
    fn arrive(&mut self, world: &mut World<Self::Message>, call: usize);

    /// Takes the answer to a request.
    fn answer(&mut self, _world: &mut World<Self::Message>, _attempt: &Attempt) {}

    /// Takes a message or timer.
    fn receive(&mut self, _world: &mut World<Self::Message>, _message: Self::Message) {}

    /// Takes note of a change of the site, as far as operators made it.
    fn change(&mut self, world: &mut World<Self::Message>, change: Change);
}

/// Takes the servers of a data centre out of a list, or puts them back into it.
pub(crate) fn relist<M>(servers: &mut Vec<usize>, world: &World<M>, change: Change) {
    let site = &world.site;
    match change {
        Change::Leave(centre) => servers.retain(|s| site.centre_of_server(*s) != centre),
        Change::Return(_) => *servers = (0..site.servers).collect(),
        Change::Slow(..) | Change::Restart(_) | Change::Replace(_) => (),
    }
}
