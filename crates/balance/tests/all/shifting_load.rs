//! Simulations of load that shifts within milliseconds, without a network.
//!
//! Scenarios: *noisy neighbours* (a quarter of the servers, drawn anew every 300 ms, is four times
//! slower), and *a service at its knee* (as many requests as its servers can just handle, where the
//! last slot of a server slows down the others).

use std::time::Duration;

use balance::query::Unavailable;
use balance::rollout::Filter;
use balance::server::Key;
use balance::table::Table;
use clock::Instant;

use crate::cases;
use crate::support::{query, report, table};

/// The work of a request, in milliseconds on a server of normal speed.
pub(crate) const WORK_MS: f64 = 220.0;

/// The simulated time, in milliseconds.
const END_MS: u64 = 60_000;

/// The requests that a server runs concurrently. Further ones are queued.
const SLOTS: usize = 4;

/// The number of requests above which a server slows down, and by what factor.
const KNEE: usize = 3;
const KNEE_FACTOR: f64 = 1.7;

pub(crate) struct Job {
    /// When the request arrived, in milliseconds.
    pub(crate) arrived_at: u64,
    /// The remaining work, in milliseconds on a server of normal speed.
    pub(crate) left_ms: f64,
}

/// Simulated servers on shared machines, in steps of one millisecond.
pub(crate) struct Simulation {
    /// The time in milliseconds.
    pub(crate) now: u64,
    /// The response-time objective, in milliseconds.
    pub(crate) objective_ms: u64,
    /// The state of the random number generator.
    random: u64,
    /// The slowdown of each server, in percent.
    slowdowns: Vec<u32>,
    /// The running and queued requests of each server.
    pub(crate) jobs: Vec<Vec<Job>>,
    pub(crate) in_time: usize,
    late: usize,
}

impl Simulation {
    pub(crate) fn new(servers: usize, objective_ms: u64) -> Self {
        Self {
            now: 1,
            objective_ms,
            random: 42,
            slowdowns: vec![100; servers],
            jobs: (0..servers).map(|_| Vec::new()).collect(),
            in_time: 0,
            late: 0,
        }
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Simulates one millisecond. Returns the server of each request that ended.
    pub(crate) fn step(&mut self) -> Vec<usize> {
        const REDRAW_MS: u64 = 300;
        const SLOW_SHARE: f64 = 0.25;
        self.now += 1;
        let mut ended = Vec::new();
        for server in 0..self.slowdowns.len() {
            if (self.now + 37 * server as u64).is_multiple_of(REDRAW_MS) {
                self.slowdowns[server] = if self.draw() < SLOW_SHARE { 400 } else { 100 };
            }
            let running = self.jobs[server].len().min(SLOTS);
            let contention = if running > KNEE { KNEE_FACTOR } else { 1.0 };
            let done = 100.0 / (f64::from(self.slowdowns[server]) * contention);
            let (now, objective_ms) = (self.now, self.objective_ms);
            let jobs = &mut self.jobs[server];
            jobs.iter_mut()
                .take(SLOTS)
                .for_each(|job| job.left_ms -= done);
            let previous = jobs.len();
            let (in_time, late) = (&mut self.in_time, &mut self.late);
            jobs.retain(|job| {
                let has_ended = job.left_ms <= 0.0;
                if has_ended && now - job.arrived_at <= objective_ms {
                    *in_time += 1;
                } else if has_ended {
                    *late += 1;
                }
                !has_ended
            });
            ended.extend(std::iter::repeat_n(server, previous - jobs.len()));
        }
        ended
    }

    /// Returns the fastest server below its knee.
    fn best(&self) -> Option<usize> {
        let available = (0..self.slowdowns.len()).filter(|s| self.jobs[*s].len() < KNEE);
        available.min_by_key(|s| (self.slowdowns[*s], self.jobs[*s].len()))
    }

    pub(crate) fn report(&self, server: usize) -> balance::report::Report {
        let requests = u32::try_from(self.jobs[server].len()).unwrap();
        report(requests, self.slowdowns[server])
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Updates the table with fresh reports of the two best servers, as probes do, and chooses one.
fn probe_and_choose(
    table: &mut Table,
    simulation: &Simulation,
    keys: &[Key],
) -> Result<Key, Unavailable> {
    let now = at(simulation.now);
    let versions = Filter::Base;
    let query = query(&versions, &[], simulation.now);
    for candidate in table.candidates(&query, now)?.iter().take(2) {
        let server = keys
            .iter()
            .position(|k| *k == candidate.choice.key)
            .unwrap();
        table.record_report(keys[server], simulation.report(server), now);
    }
    table.choose(&query, now).map(|choice| choice.key)
}

/// How a server is chosen.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// By the table, as an instance does.
    Table,
    /// A random server.
    Naive,
    /// The best server, by the true state of the simulation.
    Oracle,
}

/// Simulates a request every `gap_ms` milliseconds on average, and returns the share that ends
/// within the objective.
fn simulate(servers: usize, gap_ms: f64, objective_ms: u64, strategy: Strategy) -> f64 {
    let mut simulation = Simulation::new(servers, objective_ms);
    let (mut table, keys) = table(servers, at(0));
    let mut waiting: Vec<u64> = Vec::new();
    let mut next_arrival = 1.0;
    let mut total = 0;
    while simulation.now < END_MS {
        for server in simulation.step() {
            let now = at(simulation.now);
            table.record_report(keys[server], simulation.report(server), now);
            table.finish(keys[server], now);
        }
        if simulation.now as f64 >= next_arrival {
            next_arrival += gap_ms * (0.5 + simulation.draw());
            total += 1;
            waiting.push(simulation.now);
        }
        waiting.retain(|arrived_at| simulation.now - arrived_at < objective_ms / 3);
        while let Some(arrived_at) = waiting.first().copied() {
            let chosen = match strategy {
                Strategy::Table => probe_and_choose(&mut table, &simulation, &keys),
                Strategy::Naive => Ok(keys[(simulation.draw() * servers as f64) as usize]),
                Strategy::Oracle => simulation
                    .best()
                    .map(|server| keys[server])
                    .ok_or(Unavailable::NoCapacity),
            };
            let Ok(key) = chosen else {
                break;
            };
            waiting.remove(0);
            table.start(key, at(simulation.now));
            let server = keys.iter().position(|k| *k == key).unwrap();
            simulation.jobs[server].push(Job {
                arrived_at,
                left_ms: WORK_MS,
            });
        }
    }
    simulation.in_time as f64 / f64::from(total)
}

/// Checks that the table achieves at least three quarters of the improvement of the oracle over the
/// naive strategy.
fn approaches_the_oracle(servers: usize, gap_ms: f64) {
    const OBJECTIVE_MS: u64 = 600;
    const IMPROVEMENT_SHARE: f64 = 0.75;
    let [table, naive, oracle] = [Strategy::Table, Strategy::Naive, Strategy::Oracle]
        .map(|strategy| simulate(servers, gap_ms, OBJECTIVE_MS, strategy));
    assert!(
        naive < oracle,
        "the choice of servers makes a difference in this scenario: {naive} {oracle}"
    );
    assert!(
        table - naive >= IMPROVEMENT_SHARE * (oracle - naive),
        "naive {naive}, table {table}, oracle {oracle}"
    );
}

cases! {
    servers_with_noisy_neighbours_are_avoided => approaches_the_oracle(7, 40.0);
    half_loaded_service => approaches_the_oracle(10, 16.0);
    service_at_its_knee_is_not_loaded_beyond_it => approaches_the_oracle(10, 11.0);
    overloaded_service_is_not_loaded_beyond_its_knee => approaches_the_oracle(10, 8.0);
}

/// A table without recent reports still sends requests to all servers.
#[test]
fn all_servers_are_used_without_reports() {
    let (mut table, keys) = table(6, at(0));
    for key in &keys {
        table.record_report(*key, report(0, 400), at(10));
    }
    let now = at(10) + Duration::from_secs(5);
    let used: std::collections::HashSet<Key> = (0..100)
        .map(|seed| {
            table
                .choose(&query(&Filter::Base, &[], seed), now)
                .unwrap()
                .key
        })
        .collect();
    assert_eq!(used.len(), keys.len());
}
