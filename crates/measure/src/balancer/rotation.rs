//! Round robin.

use super::{relist, Balancer};
use crate::scenario::Change;
use crate::site::{Site, ENTRIES};
use crate::world::World;

/// Round robin over all servers, by each entry instance for itself.
#[derive(Debug)]
pub struct Rotation {
    servers: Vec<usize>,
    next: Vec<usize>,
}

impl Rotation {
    /// Returns round robin over the servers of `site`; each entry begins elsewhere.
    pub fn new(site: &Site) -> Self {
        Self {
            servers: (0..site.servers).collect(),
            next: (0..ENTRIES).collect(),
        }
    }
}

impl Balancer for Rotation {
    type Message = ();

    fn arrive(&mut self, world: &mut World<()>, call: usize) {
        let next = &mut self.next[world.calls[call].entry];
        *next += 1;
        let server = self.servers[*next % self.servers.len()];
        world.dispatch(call, server, 0);
    }

    fn change(&mut self, world: &mut World<()>, change: Change) {
        relist(&mut self.servers, world, change);
    }
}
