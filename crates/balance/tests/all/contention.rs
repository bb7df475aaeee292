//! Simulations of several instances that compete for the same servers, without a network.
//!
//! Scenarios: *a thundering herd* (all instances have requests waiting, and all learn of a free
//! slot at the same time), *one busy instance among idle ones* (most requests wait at one
//! instance), and *external requests* (requests of another data centre, which are known from load
//! reports only and whose estimate decays at all instances in the same way).

use std::collections::{HashMap, VecDeque};

use balance::rollout::Filter;
use balance::server::{Key, Server};
use balance::table::Table;
use balance::turn::{Backlog, Turn, Turns};

use crate::cases;
use crate::shifting_load::{Job, Simulation, WORK_MS};
use crate::support::{at, query, server};

const SERVERS: usize = 10;

/// The response-time objective, in milliseconds.
const OBJECTIVE_MS: u64 = 600;

/// The simulated time, in milliseconds.
const END_MS: u64 = 15_000;

/// The delay of messages between instances, in milliseconds.
const DELAY_MS: u64 = 2;

/// The interval at which instances announce requests that still wait, in milliseconds.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 50;

/// The number of requests at a server from which on it gets no external ones.
const EXTERNAL_LIMIT: usize = 2;

/// The owner of requests of another data centre.
const EXTERNAL: usize = usize::MAX;

/// A message from an instance about its requests in flight at a server.
#[derive(Clone, Copy)]
struct Message {
    deliver_at: u64,
    from: usize,
    server: usize,
    in_flight: u32,
    /// Whether a request ended, so that the message carries a load report.
    ended: bool,
}

struct Instance {
    boot: u64,
    table: Table,
    turns: Turns,
    waiting: VecDeque<u64>,
}

/// How instances with waiting requests compete for servers.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// Each sends as soon as it considers a server available.
    Independent,
    /// They take turns.
    Turns,
}

struct Fleet {
    simulation: Simulation,
    keys: Vec<Key>,
    instances: Vec<Instance>,
    messages: VecDeque<Message>,
    /// The owners of the requests at each server, in the order in which the requests started.
    owners: Vec<Vec<usize>>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let servers: Vec<Server> = (0..SERVERS)
            .map(|i| server(&format!("s{i}"), "east"))
            .collect();
        let instances = (0..count).map(|i| {
            let boot = 100 + i as u64;
            let mut table = Table::new(boot, "east");
            table.update(servers.iter(), false, at(0));
            Instance {
                boot,
                table,
                turns: Turns::default(),
                waiting: VecDeque::new(),
            }
        });
        Self {
            simulation: Simulation::new(SERVERS, OBJECTIVE_MS),
            keys: servers.iter().map(Server::key).collect(),
            instances: instances.collect(),
            messages: VecDeque::new(),
            owners: vec![Vec::new(); SERVERS],
        }
    }

    fn send(&mut self, from: usize, server: usize, in_flight: u32, ended: bool) {
        self.messages.push_back(Message {
            deliver_at: self.simulation.now + DELAY_MS,
            from,
            server,
            in_flight,
            ended,
        });
    }

    /// Announces the waiting requests, in a message about the first server.
    fn announce_backlog(&mut self, from: usize) {
        let instance = &self.instances[from];
        if !instance.waiting.is_empty() {
            let backend = instance.table.get(self.keys[0]).unwrap();
            let in_flight = backend.in_flight_from(instance.boot);
            self.send(from, 0, in_flight, false);
        }
    }

    fn deliver(&mut self) {
        let now = at(self.simulation.now);
        while let Some(message) = self.messages.front().copied() {
            if message.deliver_at > self.simulation.now {
                break;
            }
            self.messages.pop_front();
            let boot = self.instances[message.from].boot;
            let report = message
                .ended
                .then(|| self.simulation.report(message.server));
            let length = self.instances[message.from].waiting.len();
            for (i, instance) in self.instances.iter_mut().enumerate() {
                if i == message.from {
                    continue;
                }
                let key = self.keys[message.server];
                if let Some(report) = report {
                    instance.table.record_report(key, report, now);
                }
                if let Some(backend) = instance.table.get_mut(key) {
                    backend.set_in_flight(boot, message.in_flight, now);
                }
                let length = u32::try_from(length).unwrap();
                let backlog = (length > 0).then_some(Backlog {
                    priority: 1,
                    length,
                });
                let backlogs = backlog.map(|backlog| ("gauge".to_owned(), backlog));
                let backlogs: HashMap<_, _> = backlogs.into_iter().collect();
                instance.turns.set_backlogs(boot, backlogs, now);
            }
        }
    }

    fn end_jobs(&mut self) {
        let ended = self.simulation.step();
        let now = at(self.simulation.now);
        for server in ended {
            // All requests at the server are alike, so it does not matter which of them has ended.
            let owner = self.owners[server].remove(0);
            if owner == EXTERNAL {
                continue;
            }
            let key = self.keys[server];
            let report = self.simulation.report(server);
            let instance = &mut self.instances[owner];
            instance.table.record_report(key, report, now);
            let in_flight = instance.table.finish(key, now);
            self.send(owner, server, in_flight, true);
        }
    }

    fn dispatch(&mut self, i: usize, strategy: Strategy) {
        let now = at(self.simulation.now);
        let versions = Filter::Base;
        while let Some(arrived_at) = self.instances[i].waiting.front().copied() {
            let instance = &mut self.instances[i];
            let query = query(&versions, &[], self.simulation.now ^ instance.boot);
            let Ok(mut candidates) = instance.table.candidates(&query, now) else {
                return;
            };
            if strategy == Strategy::Turns {
                let length = u32::try_from(instance.waiting.len()).unwrap();
                let backlog = Backlog {
                    priority: 1,
                    length,
                };
                let turn = instance
                    .turns
                    .take("gauge", instance.boot, backlog, candidates, now);
                let Turn::Now(ready) = turn else {
                    return;
                };
                candidates = ready;
            }
            let key = candidates[0].choice.key;
            instance.waiting.pop_front();
            let in_flight = instance.table.start(key, now);
            let server = self.keys.iter().position(|k| *k == key).unwrap();
            self.simulation.jobs[server].push(Job {
                arrived_at,
                left_ms: WORK_MS,
            });
            self.owners[server].push(i);
            self.send(i, server, in_flight, false);
        }
    }

    /// Sends an external request to a random server, unless it has too many requests.
    fn send_external(&mut self) {
        let server = (self.simulation.draw() * SERVERS as f64) as usize;
        if self.simulation.jobs[server].len() < EXTERNAL_LIMIT {
            let arrived_at = self.simulation.now;
            self.simulation.jobs[server].push(Job {
                arrived_at,
                left_ms: WORK_MS,
            });
            self.owners[server].push(EXTERNAL);
        }
    }

    /// Simulates a request every `gap_ms` milliseconds on average, of which the share `skew`
    /// arrives at the first instance, and `external` requests of another data centre for each of
    /// them. Returns the share of requests that end within the objective.
    fn simulate(mut self, gap_ms: f64, skew: f64, external: f64, strategy: Strategy) -> f64 {
        let mut next_arrival = 1.0;
        let mut total = 0;
        while self.simulation.now < END_MS {
            self.end_jobs();
            self.deliver();
            if self.simulation.draw() < external / gap_ms {
                self.send_external();
            }
            while self.simulation.now as f64 >= next_arrival {
                next_arrival += gap_ms * (0.5 + self.simulation.draw());
                total += 1;
                let any = (self.simulation.draw() * self.instances.len() as f64) as usize;
                let i = if self.simulation.draw() < skew {
                    0
                } else {
                    any
                };
                self.instances[i].waiting.push_back(self.simulation.now);
                self.announce_backlog(i);
            }
            for i in 0..self.instances.len() {
                let now = self.simulation.now;
                if (now + 7 * i as u64).is_multiple_of(ANNOUNCEMENT_INTERVAL_MS) {
                    self.announce_backlog(i);
                }
                self.instances[i]
                    .waiting
                    .retain(|arrived_at| now - arrived_at < OBJECTIVE_MS / 3);
                self.dispatch(i, strategy);
            }
        }
        self.simulation.in_time as f64 / f64::from(total)
    }
}

/// Checks that `count` instances that take turns serve at least nine tenths of what a single
/// instance with all requests would serve, and more than instances that do not take turns.
fn serves_like_one(count: usize, gap_ms: f64, skew: f64, external: f64) {
    const SHARE: f64 = 0.9;
    let single = Fleet::new(1).simulate(gap_ms, 0.0, external, Strategy::Independent);
    let [independent, turns] = [Strategy::Independent, Strategy::Turns]
        .map(|strategy| Fleet::new(count).simulate(gap_ms, skew, external, strategy));
    assert!(
        turns > independent,
        "independent {independent}, turns {turns}"
    );
    assert!(turns >= SHARE * single, "single {single}, turns {turns}");
}

cases! {
    thirty_instances_at_an_overloaded_service => serves_like_one(30, 7.0, 0.0, 0.0);
    six_instances_at_an_overloaded_service => serves_like_one(6, 7.0, 0.0, 0.0);
    external_requests_at_the_servers => serves_like_one(30, 9.0, 0.0, 0.4);
    one_busy_instance_among_idle_ones => serves_like_one(12, 7.0, 0.8, 0.0);
}
