//! Least load by a stale report.

use std::time::Duration;

use super::{relist, Balancer};
use crate::scenario::Change;
use crate::site::{Site, CENTRES};
use crate::world::World;

/// The time from one report to the next, and the age of each when it arrives.
const PERIOD: Duration = Duration::from_millis(500);

/// The server with the least load by the latest report; equal ones at random.
#[derive(Debug)]
pub struct Report {
    servers: Vec<usize>,
    /// The reported requests at hand of each server.
    known: Vec<u32>,
}

/// The load of each server at one instant.
#[derive(Clone, Debug)]
pub struct Loads(Vec<u32>);

impl Report {
    /// Returns least load among the servers of `site`.
    pub fn new(site: &Site) -> Self {
        Self {
            servers: (0..site.servers).collect(),
            known: vec![0; site.servers],
        }
    }
}

impl Balancer for Report {
    type Message = Loads;

    fn start(&mut self, world: &mut World<Loads>) {
        world.after(PERIOD, Loads(self.known.clone()));
    }

    fn arrive(&mut self, world: &mut World<Loads>, call: usize) {
        let least = self.servers.iter().map(|s| self.known[*s]).min();
        let equal = self
            .servers
            .iter()
            .filter(|s| Some(self.known[**s]) == least);
        let equal: Vec<usize> = equal.copied().collect();
        let server = equal[world.random.below(equal.len())];
        world.dispatch(call, server, 0);
    }

    fn receive(&mut self, world: &mut World<Loads>, message: Loads) {
        self.known = message.0;
        let loads = world.backends.iter().map(|b| b.at_hand()).collect();
        // One message a server to one instance a data centre, which passes it on.
        world.tally.messages += (world.backends.len() * CENTRES) as u64;
        world.after(PERIOD, Loads(loads));
    }

    fn change(&mut self, world: &mut World<Loads>, change: Change) {
        relist(&mut self.servers, world, change);
    }
}
