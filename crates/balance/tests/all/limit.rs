//! Simulations of servers that name a limit on their requests a second, without a network.
//!
//! Scenarios: *some limited servers among others* (the others take what the limited ones may not),
//! *overload at limited servers only* (requests wait at all instances for the next one that may
//! start), *lost announcements* (instances miss some requests of others), and *a large data centre*
//! (many instances see the same server open at the same time).
//!
//! Guards against a back end that gets far more requests than the limit that it named, summed over
//! the instances.

use std::collections::VecDeque;
use std::time::Duration;

use balance::condition::Conditions;
use balance::query::{Query, Unavailable};
use balance::rollout::Filter;
use balance::server::{Key, Server};
use balance::table::Table;
use fastrand::Rng;

use crate::cases;
use crate::support::{at, query, server, table, PEER};

/// The time that a request takes, in milliseconds.
const WORK_MS: u64 = 64;

/// The delay of messages between instances, in milliseconds.
const DELAY_MS: u64 = 2;

/// The time for which a request waits for a server, in milliseconds.
const WAIT_MS: u64 = 60;

/// The time after the first answer with a limit from which on it binds (`contact`), and the window
/// of the bound, in milliseconds.
const CONTACT_MS: u64 = 3000;
const WINDOW_MS: u64 = 4000;

/// The bound: so many times the limit, and some requests.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// The simulated time, in milliseconds.
const END_MS: u64 = 20_000;

#[derive(Clone, Copy)]
struct Site {
    instances: usize,
    servers: usize,
    limited: usize,
    /// The limit, in requests a second.
    limit: f64,
    /// The arrivals, in requests a second.
    arrivals: f64,
    /// The share of messages that is lost.
    loss: f64,
}

struct Message {
    deliver_at: u64,
    to: usize,
    from: usize,
    server: usize,
    in_flight: u32,
    limit: Option<f64>,
}

struct Fleet {
    site: Site,
    rng: Rng,
    keys: Vec<Key>,
    tables: Vec<Table>,
    messages: VecDeque<Message>,
    /// The ends of the requests in flight: time, instance and server.
    running: Vec<(u64, usize, usize)>,
    /// The instances of requests that wait, and until when they do.
    waiting: VecDeque<(usize, u64)>,
    /// The times at which requests started, by server.
    starts: Vec<Vec<u64>>,
}

impl Fleet {
    fn new(site: Site, seed: u64) -> Self {
        let servers: Vec<Server> = (0..site.servers)
            .map(|i| server(&format!("s{i}"), "east"))
            .collect();
        let tables = (0..site.instances).map(|i| {
            let mut table = Table::new(i as u64 + 1, "east");
            table.update(servers.iter(), false, at(0));
            table
        });
        Self {
            site,
            rng: Rng::with_seed(seed),
            keys: servers.iter().map(Server::key).collect(),
            tables: tables.collect(),
            messages: VecDeque::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            starts: vec![Vec::new(); site.servers],
        }
    }

    fn announce(
        &mut self,
        from: usize,
        server: usize,
        in_flight: u32,
        limit: Option<f64>,
        now: u64,
    ) {
        for to in (0..self.tables.len()).filter(|to| *to != from) {
            if self.rng.f64() >= self.site.loss {
                self.messages.push_back(Message {
                    deliver_at: now + DELAY_MS,
                    to,
                    from,
                    server,
                    in_flight,
                    limit,
                });
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(message) = self.messages.pop_front_if(|m| m.deliver_at <= now) {
            let table = &mut self.tables[message.to];
            let key = self.keys[message.server];
            if message.limit.is_some() {
                table.set_limit(key, message.limit, at(now));
            }
            table.set_in_flight(key, message.from as u64 + 1, message.in_flight, at(now));
        }
    }

    fn end_requests(&mut self, now: u64) {
        let running = std::mem::take(&mut self.running);
        let (ended, running) = running.into_iter().partition(|(end, ..)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, usize, usize)> = ended;
        for (_, instance, server) in ended {
            let limit = (server < self.site.limited).then_some(self.site.limit);
            let key = self.keys[server];
            let table = &mut self.tables[instance];
            table.set_limit(key, limit, at(now));
            let in_flight = table.finish(key, at(now));
            self.announce(instance, server, in_flight, limit, now);
        }
    }

    /// Starts a request at `instance`. Returns whether a server took it.
    fn start(&mut self, instance: usize, now: u64) -> bool {
        let query = Query {
            work: Duration::from_millis(WORK_MS),
            ..query(&Filter::Base, &[], self.rng.u64(..))
        };
        let Ok(choice) = self.tables[instance].choose(&query, at(now)) else {
            return false;
        };
        let server = self.keys.iter().position(|k| *k == choice.key).unwrap();
        let in_flight = self.tables[instance].start(choice.key, at(now));
        self.starts[server].push(now);
        self.running.push((now + WORK_MS, instance, server));
        self.announce(instance, server, in_flight, None, now);
        true
    }

    fn run(&mut self) {
        for now in 0..END_MS {
            self.deliver(now);
            self.end_requests(now);
            if self.rng.f64() < self.site.arrivals / 1000.0 {
                let instance = self.rng.usize(..self.tables.len());
                self.waiting.push_back((instance, now + WAIT_MS));
            }
            for (instance, until) in std::mem::take(&mut self.waiting) {
                if !self.start(instance, now) && now < until {
                    self.waiting.push_back((instance, until));
                }
            }
        }
    }

    /// Returns the most requests that a limited server got in a window.
    fn most_in_window(&self) -> usize {
        let limited = &self.starts[..self.site.limited];
        let windows = limited.iter().flat_map(|starts| {
            starts.iter().enumerate().map(|(i, from)| {
                let until = from + WINDOW_MS;
                let bound = *from >= CONTACT_MS;
                let within = starts[i..].iter().take_while(|start| **start < until);
                if bound {
                    within.count()
                } else {
                    0
                }
            })
        });
        windows.max().unwrap_or(0)
    }
}

fn check(site: Site) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(site, seed);
        fleet.run();
        let window = Duration::from_millis(WINDOW_MS).as_secs_f64();
        let allowed = LIMIT_FACTOR * site.limit * window + LIMIT_SLACK;
        let most = fleet.most_in_window();
        assert!(
            most as f64 <= allowed,
            "{most} requests, {allowed} allowed, seed {seed}"
        );
        // Half of what the servers take is used at least while there are enough requests.
        let used = fleet.starts[0].len() as f64 / Duration::from_millis(END_MS).as_secs_f64();
        assert!(
            used >= site.limit / 2.0,
            "{used} requests a second, seed {seed}"
        );
    }
}

const SITE: Site = Site {
    instances: 6,
    servers: 8,
    limited: 5,
    limit: 4.5,
    arrivals: 120.0,
    loss: 0.0,
};

cases! {
    some_limited_servers_among_others => check(SITE);
    overload_at_limited_servers_only =>
        check(Site { servers: 3, limited: 3, limit: 3.0, arrivals: 60.0, ..SITE });
    lost_announcements => check(Site { loss: 0.1, ..SITE });
    large_data_centre => check(Site { instances: 32, servers: 12, limited: 9, ..SITE });
    large_data_centre_that_is_overloaded =>
        check(Site { instances: 32, servers: 3, limited: 3, arrivals: 200.0, ..SITE });
}

/// Instances of other data centres do not hear of all requests at a limited server.
#[test]
fn limited_server_of_another_data_centre_is_not_used() {
    let remote = server("s9", "west");
    let mut table = Table::new(PEER, "east");
    table.update([&remote].into_iter(), false, at(0));
    table.set_spillover_headroom("west", "gauge", 10.0);
    let choose = |table: &Table| table.choose(&query(&Filter::Base, &[], 7), at(10_000));
    assert!(choose(&table).is_ok());
    table.set_limit(remote.key(), Some(5.0), at(0));
    assert_eq!(choose(&table), Err(Unavailable::NoCapacity));
    table.borrow("west", &[remote.key()]);
    // A borrowed server has to answer a probe first.
    let borrowed = table.get_mut(remote.key()).unwrap();
    borrowed.record_probe(Duration::ZERO, at(1));
    assert_eq!(choose(&table).map(|c| c.key), Ok(remote.key()));
}

/// A server that takes no requests gets one now and then, as only responses tell that it does again.
#[test]
fn server_with_a_limit_of_zero_gets_a_request_now_and_then() {
    let (mut table, keys) = table(1, at(0));
    table.set_limit(keys[0], Some(0.0), at(0));
    assert_eq!(table.opens_at(keys[0], at(100)), Some(at(4000)));
    assert_eq!(table.opens_at(keys[0], at(4000)), None);
    table.set_limit(keys[0], None, at(4100));
    assert_eq!(table.opens_at(keys[0], at(4100)), None);
}

/// A limit holds while the server's entry is away, and is forgotten long after.
#[test]
fn conditions_expire() {
    let key = server("s1", "east").key();
    let mut conditions = Conditions::default();
    conditions.set_limit(key, Some(1.0), at(0));
    conditions.pause(key, Duration::from_secs(2), at(0));
    conditions.expire(at(59_999));
    assert_eq!(conditions.limit(key), Some(1.0));
    conditions.expire(at(60_000));
    assert_eq!(conditions.limit(key), None);
    conditions.pause(key, Duration::MAX, at(60_000));
    assert!(conditions.opens_at(key, at(100_000)).is_some());
}
