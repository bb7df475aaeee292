//! Two random choices.

use super::{relist, Balancer};
use crate::call::Attempt;
use crate::scenario::Change;
use crate::site::{Site, ENTRIES};
use crate::world::World;

/// The better of two random servers, by the requests that the entry instance itself has at each
/// (Mitzenmacher, 2001).
#[derive(Debug)]
pub struct Choice {
    servers: Vec<usize>,
    /// The requests of each entry at each server.
    counts: Vec<Vec<u32>>,
}

impl Choice {
    /// Returns two random choices among the servers of `site`.
    pub fn new(site: &Site) -> Self {
        Self {
            servers: (0..site.servers).collect(),
            counts: vec![vec![0; site.servers]; ENTRIES],
        }
    }
}

impl Balancer for Choice {
    type Message = ();

    fn arrive(&mut self, world: &mut World<()>, call: usize) {
        let first = self.servers[world.random.below(self.servers.len())];
        let second = self.servers[world.random.below(self.servers.len())];
        let counts = &mut self.counts[world.calls[call].entry];
        let server = if counts[second] < counts[first] {
            second
        } else {
            first
        };
        counts[server] += 1;
        world.dispatch(call, server, 0);
    }

    fn answer(&mut self, world: &mut World<()>, attempt: &Attempt) {
        if let Some(call) = attempt.call {
            self.counts[world.calls[call].entry][attempt.server] -= 1;
        }
    }

    fn change(&mut self, world: &mut World<()>, change: Change) {
        relist(&mut self.servers, world, change);
    }
}
