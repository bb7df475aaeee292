//! Power of two random choices.

use super::{update_servers, Balancer};
use crate::call::Attempt;
use crate::scenario::Change;
use crate::site::{Site, ENTRIES};
use crate::world::World;

/// Chooses the better of two random servers, by the requests that the entry instance itself has in
/// flight at each (Mitzenmacher, 2001).
#[derive(Debug)]
pub struct Choice {
    servers: Vec<usize>,
    /// The requests in flight of each entry instance at each server.
    in_flight: Vec<Vec<u32>>,
}

impl Choice {
    /// Returns the balancer for the servers of `site`.
    pub fn new(site: &Site) -> Self {
        Self {
            servers: (0..site.servers).collect(),
            in_flight: vec![vec![0; site.servers]; ENTRIES],
        }
    }
}

impl Balancer for Choice {
    type Message = ();

    fn arrive(&mut self, world: &mut World<()>, call: usize) {
        let first = self.servers[world.random.below(self.servers.len())];
        let second = self.servers[world.random.below(self.servers.len())];
        let in_flight = &mut self.in_flight[world.calls[call].entry];
        let server = if in_flight[second] < in_flight[first] {
            second
        } else {
            first
        };
        in_flight[server] += 1;
        world.dispatch(call, server, 0);
    }

    fn answer(&mut self, world: &mut World<()>, attempt: &Attempt) {
        if let Some(call) = attempt.call {
            self.in_flight[world.calls[call].entry][attempt.server] -= 1;
        }
    }

    fn change(&mut self, world: &mut World<()>, change: Change) {
        update_servers(&mut self.servers, world, change);
    }
}
