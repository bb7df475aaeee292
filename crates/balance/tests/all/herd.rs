//! Several instances with requests for the same servers, played without a network.
//!
//! Patterns: *a herd at a freed slot* (all instances have requests waiting, and all hear at once of
//! the slot that becomes free), *one busy instance among idle ones* (most requests wait at one
//! instance), and *strangers at the servers* (requests of another data centre, of which only reports
//! tell: belief in them fades at all instances in the same way).

use std::collections::{HashMap, VecDeque};

use balance::rollout::Filter;
use balance::server::{Key, Server};
use balance::table::Table;
use balance::turn::{Backlog, Turn, Turns};

use crate::cases;
use crate::load::{Job, World, WORK};
use crate::support::{at, query, server};

/// The servers, and the objective in milliseconds.
const SERVERS: usize = 10;
const AIM: u64 = 600;

/// The time that is played, in milliseconds.
const END: u64 = 15_000;

/// How long a word between two instances takes, in milliseconds.
const DELAY: u64 = 2;

/// The time between two words of requests that still wait, in milliseconds.
const REPEATED: u64 = 50;

/// The requests at a server from which on strangers stay away.
const VISITED: usize = 2;

/// Owns the requests of another data centre.
const STRANGER: usize = usize::MAX;

/// What an instance tells of a server: the requests that it has there.
#[derive(Clone, Copy)]
struct Word {
    due: u64,
    from: usize,
    server: usize,
    held: u32,
    ended: bool,
}

struct Instance {
    boot: u64,
    table: Table,
    turns: Turns,
    waiting: VecDeque<u64>,
}

/// How instances with waiting requests share servers.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Each sends when it believes that there is room.
    Alone,
    /// They take turns.
    Turns,
}

struct Fleet {
    world: World,
    keys: Vec<Key>,
    instances: Vec<Instance>,
    words: VecDeque<Word>,
    /// The owners of the requests at each server, in the order of their start.
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
            world: World::new(SERVERS, AIM),
            keys: servers.iter().map(Server::key).collect(),
            instances: instances.collect(),
            words: VecDeque::new(),
            owners: vec![Vec::new(); SERVERS],
        }
    }

    fn tell(&mut self, from: usize, server: usize, held: u32, ended: bool) {
        self.words.push_back(Word {
            due: self.world.now + DELAY,
            from,
            server,
            held,
            ended,
        });
    }

    /// Tells of the requests that wait, with what is true of any server.
    fn tell_waiting(&mut self, from: usize) {
        let instance = &self.instances[from];
        if !instance.waiting.is_empty() {
            let backend = instance.table.get(self.keys[0]).unwrap();
            let held = backend.in_flight_from(instance.boot);
            self.tell(from, 0, held, false);
        }
    }

    fn hear(&mut self) {
        let now = at(self.world.now);
        while let Some(word) = self.words.front().copied() {
            if word.due > self.world.now {
                break;
            }
            self.words.pop_front();
            let boot = self.instances[word.from].boot;
            let report = word.ended.then(|| self.world.report(word.server));
            let length = self.instances[word.from].waiting.len();
            for (i, instance) in self.instances.iter_mut().enumerate() {
                if i == word.from {
                    continue;
                }
                let key = self.keys[word.server];
                if let Some(report) = report {
                    instance.table.record_report(key, report, now);
                }
                if let Some(backend) = instance.table.get_mut(key) {
                    backend.set_in_flight(boot, word.held, now);
                }
                let length = u32::try_from(length).unwrap();
                let line = (length > 0).then_some(Backlog {
                    priority: 1,
                    length,
                });
                let lines = line.map(|line| ("gauge".to_owned(), line));
                let lines: HashMap<_, _> = lines.into_iter().collect();
                instance.turns.set_backlogs(boot, lines, now);
            }
        }
    }

    fn end_jobs(&mut self) {
        let ended = self.world.step();
        let now = at(self.world.now);
        for server in ended {
            // Which of the requests there has ended makes no difference here: they are alike.
            let owner = self.owners[server].remove(0);
            if owner == STRANGER {
                continue;
            }
            let key = self.keys[server];
            let report = self.world.report(server);
            let instance = &mut self.instances[owner];
            instance.table.record_report(key, report, now);
            let held = instance.table.finish(key, now);
            self.tell(owner, server, held, true);
        }
    }

    fn dispatch(&mut self, i: usize, way: Way) {
        let now = at(self.world.now);
        let arm = Filter::Base;
        while let Some(came) = self.instances[i].waiting.front().copied() {
            let instance = &mut self.instances[i];
            let question = query(&arm, &[], self.world.now ^ instance.boot);
            let Ok(mut candidates) = instance.table.candidates(&question, now) else {
                return;
            };
            if way == Way::Turns {
                let length = u32::try_from(instance.waiting.len()).unwrap();
                let line = Backlog {
                    priority: 1,
                    length,
                };
                let turn = instance
                    .turns
                    .take("gauge", instance.boot, line, candidates, now);
                let Turn::Now(ready) = turn else {
                    return;
                };
                candidates = ready;
            }
            let key = candidates[0].choice.key;
            instance.waiting.pop_front();
            let held = instance.table.start(key, now);
            let server = self.keys.iter().position(|k| *k == key).unwrap();
            self.world.jobs[server].push(Job { came, left: WORK });
            self.owners[server].push(i);
            self.tell(i, server, held, false);
        }
    }

    /// Sends a request of a stranger, if any server is free enough.
    fn visit(&mut self) {
        let server = (self.world.draw() * SERVERS as f64) as usize;
        if self.world.jobs[server].len() < VISITED {
            let came = self.world.now;
            self.world.jobs[server].push(Job { came, left: WORK });
            self.owners[server].push(STRANGER);
        }
    }

    /// Plays with a request each `gap` milliseconds, `skew` of them at the first instance, and
    /// `strangers` for each of them. Returns the share that was served in time.
    fn play(mut self, gap: f64, skew: f64, strangers: f64, way: Way) -> f64 {
        let mut next = 1.0;
        let mut asked_for = 0;
        while self.world.now < END {
            self.end_jobs();
            self.hear();
            if self.world.draw() < strangers / gap {
                self.visit();
            }
            while self.world.now as f64 >= next {
                next += gap * (0.5 + self.world.draw());
                asked_for += 1;
                let any = (self.world.draw() * self.instances.len() as f64) as usize;
                let i = if self.world.draw() < skew { 0 } else { any };
                self.instances[i].waiting.push_back(self.world.now);
                self.tell_waiting(i);
            }
            for i in 0..self.instances.len() {
                let now = self.world.now;
                if (now + 7 * i as u64).is_multiple_of(REPEATED) {
                    self.tell_waiting(i);
                }
                self.instances[i]
                    .waiting
                    .retain(|came| now - came < AIM / 3);
                self.dispatch(i, way);
            }
        }
        self.world.in_time as f64 / f64::from(asked_for)
    }
}

/// Checks that `count` instances that take turns serve nine tenths of what one instance would that
/// has all requests, and more than instances that do not.
fn serve_like_one(count: usize, gap: f64, skew: f64, strangers: f64) {
    const SHARE: f64 = 0.9;
    let one = Fleet::new(1).play(gap, 0.0, strangers, Way::Alone);
    let [alone, turns] =
        [Way::Alone, Way::Turns].map(|way| Fleet::new(count).play(gap, skew, strangers, way));
    assert!(turns > alone, "alone {alone} turns {turns}");
    assert!(turns >= SHARE * one, "one {one} turns {turns}");
}

cases! {
    thirty_instances_at_an_overloaded_service => serve_like_one(30, 7.0, 0.0, 0.0);
    six_instances_at_an_overloaded_service => serve_like_one(6, 7.0, 0.0, 0.0);
    strangers_at_the_servers => serve_like_one(30, 9.0, 0.0, 0.4);
    one_busy_instance_among_idle_ones => serve_like_one(12, 7.0, 0.8, 0.0);
}
