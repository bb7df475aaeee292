//! Least load according to a stale report.

use std::time::Duration;

use super::{update_servers, Balancer};
use crate::scenario::Change;
use crate::site::{Site, CENTRES};
use crate::world::World;

/// The time between reports, which is also the age of each report on arrival.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Chooses the server with the least load in the latest report; ties are broken at random.
#[derive(Debug)]
pub struct Report {
    servers: Vec<usize>,
    /// The reported number of pending requests of each server.
    reported: Vec<u32>,
}

/// The pending requests of each server at one instant.
#[derive(Clone, Debug)]
pub struct Loads(Vec<u32>);

impl Report {
    /// Returns the balancer for the servers of `site`.
    pub fn new(site: &Site) -> Self {
        Self {
            servers: (0..site.servers).collect(),
            reported: vec![0; site.servers],
        }
    }
}

impl Balancer for Report {
    type Message = Loads;

    fn start(&mut self, world: &mut World<Loads>) {
        world.after(REPORT_PERIOD, Loads(self.reported.clone()));
    }

    fn arrive(&mut self, world: &mut World<Loads>, call: usize) {
        let least = self.servers.iter().map(|s| self.reported[*s]).min();
        let candidates = self
            .servers
            .iter()
            .filter(|s| Some(self.reported[**s]) == least);
        let candidates: Vec<usize> = candidates.copied().collect();
        let server = candidates[world.random.below(candidates.len())];
        world.dispatch(call, server, 0);
    }

    fn receive(&mut self, world: &mut World<Loads>, message: Loads) {
        self.reported = message.0;
        let loads = world.backends.iter().map(|b| b.pending()).collect();
        // Each server sends one message to one instance in each data centre, which forwards it.
        world.tally.messages += (world.backends.len() * CENTRES) as u64;
        world.after(REPORT_PERIOD, Loads(loads));
    }

    fn change(&mut self, world: &mut World<Loads>, change: Change) {
        update_servers(&mut self.servers, world, change);
    }
}
