//! Loads that shift within milliseconds, played without a network.
//!
//! Patterns: *noisy neighbours* (a quarter of the servers work four times slower, drawn again each
//! 300 ms), and *a service at its knee* (as many requests as its servers can just bear, where the
//! last slot of a server slows down the others).

use std::time::Duration;

use balance::query::Unavailable;
use balance::rollout::Filter;
use balance::server::Key;
use balance::table::Table;
use clock::Instant;

use crate::cases;
use crate::support::{query, report, table};

/// The work of a request, in milliseconds on a server of the usual pace.
pub(crate) const WORK: f64 = 220.0;

/// The time that is played, in milliseconds.
const END: u64 = 60_000;

/// The requests that run at a time; more wait.
const SLOTS: usize = 4;

/// The requests beyond which a server slows down, and by how much.
const KNEE: usize = 3;
const KNEE_FACTOR: f64 = 1.7;

pub(crate) struct Job {
    pub(crate) came: u64,
    pub(crate) left: f64,
}

/// Servers on shared machines, a millisecond a step.
pub(crate) struct World {
    pub(crate) now: u64,
    /// The objective, in milliseconds.
    pub(crate) aim: u64,
    random: u64,
    paces: Vec<u32>,
    pub(crate) jobs: Vec<Vec<Job>>,
    pub(crate) in_time: usize,
    late: usize,
}

impl World {
    pub(crate) fn new(servers: usize, aim: u64) -> Self {
        Self {
            now: 1,
            aim,
            random: 42,
            paces: vec![100; servers],
            jobs: (0..servers).map(|_| Vec::new()).collect(),
            in_time: 0,
            late: 0,
        }
    }

    pub(crate) fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Lets a millisecond pass. Returns the servers at which requests ended.
    pub(crate) fn step(&mut self) -> Vec<usize> {
        const REDRAW: u64 = 300;
        const SLOW_SHARE: f64 = 0.25;
        self.now += 1;
        let mut ended = Vec::new();
        for server in 0..self.paces.len() {
            if (self.now + 37 * server as u64).is_multiple_of(REDRAW) {
                self.paces[server] = if self.draw() < SLOW_SHARE { 400 } else { 100 };
            }
            let running = self.jobs[server].len().min(SLOTS);
            let slowed = if running > KNEE { KNEE_FACTOR } else { 1.0 };
            let done = 100.0 / (f64::from(self.paces[server]) * slowed);
            let (now, aim) = (self.now, self.aim);
            let jobs = &mut self.jobs[server];
            jobs.iter_mut().take(SLOTS).for_each(|job| job.left -= done);
            let before = jobs.len();
            let (in_time, late) = (&mut self.in_time, &mut self.late);
            jobs.retain(|job| {
                let ends = job.left <= 0.0;
                if ends && now - job.came <= aim {
                    *in_time += 1;
                } else if ends {
                    *late += 1;
                }
                !ends
            });
            ended.extend(std::iter::repeat_n(server, before - jobs.len()));
        }
        ended
    }

    /// Returns the fastest server with room below its knee.
    fn best(&self) -> Option<usize> {
        let open = (0..self.paces.len()).filter(|s| self.jobs[*s].len() < KNEE);
        open.min_by_key(|s| (self.paces[*s], self.jobs[*s].len()))
    }

    pub(crate) fn report(&self, server: usize) -> balance::report::Report {
        let requests = u32::try_from(self.jobs[server].len()).unwrap();
        report(requests, self.paces[server])
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Tells the table how the two best servers are, as probes do, and chooses.
fn ask_and_choose(table: &mut Table, world: &World, keys: &[Key]) -> Result<Key, Unavailable> {
    let now = at(world.now);
    let arm = Filter::Base;
    let question = query(&arm, &[], world.now);
    for candidate in table.candidates(&question, now)?.iter().take(2) {
        let server = keys
            .iter()
            .position(|k| *k == candidate.choice.key)
            .unwrap();
        table.record_report(keys[server], world.report(server), now);
    }
    table.choose(&question, now).map(|choice| choice.key)
}

/// How a server is chosen.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// As an instance does.
    Table,
    /// Any server.
    Naive,
    /// The best one, by what only the world knows.
    Oracle,
}

/// Plays with a request each `gap` milliseconds, and returns the share served within `aim`.
fn play(servers: usize, gap: f64, aim: u64, way: Way) -> f64 {
    let mut world = World::new(servers, aim);
    let (mut table, keys) = table(servers, at(0));
    let mut waiting: Vec<u64> = Vec::new();
    let mut next = 1.0;
    let mut asked_for = 0;
    while world.now < END {
        for server in world.step() {
            let now = at(world.now);
            table.record_report(keys[server], world.report(server), now);
            table.finish(keys[server], now);
        }
        if world.now as f64 >= next {
            next += gap * (0.5 + world.draw());
            asked_for += 1;
            waiting.push(world.now);
        }
        waiting.retain(|came| world.now - came < aim / 3);
        while let Some(came) = waiting.first().copied() {
            let chosen = match way {
                Way::Table => ask_and_choose(&mut table, &world, &keys),
                Way::Naive => Ok(keys[(world.draw() * servers as f64) as usize]),
                Way::Oracle => world
                    .best()
                    .map(|server| keys[server])
                    .ok_or(Unavailable::NoCapacity),
            };
            let Ok(key) = chosen else {
                break;
            };
            waiting.remove(0);
            table.start(key, at(world.now));
            let server = keys.iter().position(|k| *k == key).unwrap();
            world.jobs[server].push(Job { came, left: WORK });
        }
    }
    world.in_time as f64 / f64::from(asked_for)
}

/// Checks that choosing by the table is at least three quarters of the way from the naive way to
/// one that knows all.
fn nears_the_oracle(servers: usize, gap: f64) {
    const AIM: u64 = 600;
    const WAY_SHARE: f64 = 0.75;
    let [table, naive, oracle] =
        [Way::Table, Way::Naive, Way::Oracle].map(|way| play(servers, gap, AIM, way));
    assert!(
        naive < oracle,
        "the pattern is one that choice matters for: {naive} {oracle}"
    );
    assert!(
        table - naive >= WAY_SHARE * (oracle - naive),
        "{naive} {table} {oracle}"
    );
}

cases! {
    noisy_neighbours_are_passed_by => nears_the_oracle(7, 40.0);
    half_loaded_service => nears_the_oracle(10, 16.0);
    service_at_its_knee_is_not_filled_beyond_it => nears_the_oracle(10, 11.0);
    overloaded_service_is_not_filled_beyond_its_knee => nears_the_oracle(10, 8.0);
}

/// A table that hears nothing for a while still sends requests everywhere.
#[test]
fn silence_leaves_all_servers_in_use() {
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
