//! Round robin.

use super::{update_servers, Balancer};
use crate::scenario::Change;
use crate::site::{Site, ENTRIES};
use crate::world::World;

/// Round robin over all servers, independently at each entry instance.
#[derive(Debug)]
pub struct Rotation {
    servers: Vec<usize>,
    next: Vec<usize>,
}

impl Rotation {
    /// Returns the balancer for the servers of `site`; each entry instance starts at a different
    /// server.
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
        update_servers(&mut self.servers, world, change);
    }
}
