//! Shared test helpers: constructors, pools with servers, and a simulation of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;
use policy::credit;
use policy::feedback::{Feedback, Outcome};
use policy::pool::{Config, Pool};
use policy::server::{Listing, State};
use policy::ticket::{self, Ticket};

/// Defines a test for each case of a property or scenario: `cases! { name => expression; }`.
macro_rules! cases {
    ($($name:ident => $run:expr;)*) => {$(
        #[test]
        fn $name() {
            $run
        }
    )*};
}
pub(crate) use cases;

/// Returns the instant `ms` milliseconds after the origin.
pub(crate) fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns `ms` milliseconds.
pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a listed server.
pub(crate) fn listed(name: &str, version: &str) -> Listing {
    Listing {
        name: name.into(),
        version: version.into(),
        leaving: false,
    }
}

/// Returns a pool with `servers` servers, named from `s0`, of version `v1`.
pub(crate) fn pool(config: Config, servers: usize) -> Pool {
    let names: Vec<Listing> = (0..servers)
        .map(|n| listed(&format!("s{n}"), "v1"))
        .collect();
    let mut pool = Pool::new(config, at(0));
    pool.set_servers(&names, at(0));
    pool.set_shares(&[(id::Version::from("v1"), 1.0)]);
    pool
}

/// Returns a ticket that cannot wait.
pub(crate) fn ticket(id: u64, deadline: Instant) -> Ticket {
    Ticket {
        id: ticket::Id(id),
        instance: "i".into(),
        can_wait: false,
        deadline,
        time_limit: ms(1000),
        avoid: Vec::new(),
        fingerprint: None,
    }
}

/// Returns the feedback of an attempt.
pub(crate) fn feedback(outcome: Outcome, latency: Duration) -> Feedback {
    Feedback {
        outcome,
        latency,
        start_id: None,
        route: "r".into(),
        fingerprint: None,
        draining: false,
    }
}

/// Returns the pool's state of the server `name`.
pub(crate) fn state(pool: &Pool, name: &str) -> State {
    let states = pool.snapshot();
    let state = states.into_iter().find(|s| s.name.as_str() == name);
    state.expect("the server is known")
}

/// Simulates a pool with callers that each make one call after another, and scripted servers.
pub(crate) struct Simulation {
    pub(crate) pool: Pool,
    pub(crate) now: Instant,
    /// The server and the outcome of each attempt, in the order in which they ended.
    pub(crate) log: Vec<(String, Outcome)>,
    /// The number of probes so far.
    pub(crate) probes: usize,
    in_flight: BTreeMap<(Instant, credit::Id), (String, Feedback)>,
    tickets: u64,
}

impl Simulation {
    pub(crate) fn new(pool: Pool) -> Self {
        Self {
            pool,
            now: at(0),
            log: Vec::new(),
            probes: 0,
            in_flight: BTreeMap::new(),
            tickets: 0,
        }
    }

    /// Runs `callers` callers for `duration`. `serve` returns the feedback of a request, given the
    /// server's name and the number of its requests in flight, including this one.
    pub(crate) fn run<F>(&mut self, callers: usize, duration: Duration, mut serve: F)
    where
        F: FnMut(&str, usize) -> Feedback,
    {
        let end = self.now + duration;
        while self.now < end {
            self.enqueue_calls(callers);
            for grant in self.pool.grant(self.now) {
                let name = grant.credit.server.as_str().to_owned();
                let busy = self.in_flight.values().filter(|(n, _)| *n == name).count() + 1;
                let feedback = serve(&name, busy);
                let key = (self.now + feedback.latency, grant.credit.id);
                self.in_flight.insert(key, (name, feedback));
            }
            self.probe(&mut serve);
            self.finish_next(end);
        }
    }

    /// Returns the fraction of the attempts that went to `server`.
    pub(crate) fn fraction(&self, server: &str) -> f64 {
        let hits = self.log.iter().filter(|(name, _)| name == server).count();
        hits as f64 / self.log.len() as f64
    }

    /// Returns the number of attempts that ended as `outcome`.
    pub(crate) fn count(&self, outcome: Outcome) -> usize {
        self.log.iter().filter(|(_, o)| *o == outcome).count()
    }

    fn enqueue_calls(&mut self, callers: usize) {
        self.pool.take_dropped();
        while self.pool.queued() + self.in_flight.len() < callers {
            self.tickets += 1;
            let call = ticket(self.tickets, self.now + ms(1000));
            if self.pool.enqueue(call, self.now).is_err() {
                return;
            }
        }
    }

    fn probe<F>(&mut self, serve: &mut F)
    where
        F: FnMut(&str, usize) -> Feedback,
    {
        if let Some(task) = self.pool.probe(self.now) {
            self.probes += 1;
            let name = task.credit.server.as_str().to_owned();
            let feedback = serve(&name, 1);
            let key = (self.now + feedback.latency, task.credit.id);
            self.in_flight.insert(key, (name, feedback));
        }
    }

    /// Advances to the end of the next attempt, by at most 5 ms.
    fn finish_next(&mut self, end: Instant) {
        let idle = (self.now + ms(5)).min(end);
        let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= idle) else {
            self.now = idle;
            return;
        };
        let ((when, id), (name, feedback)) = entry.remove_entry();
        self.now = when;
        self.log.push((name, feedback.outcome));
        self.pool.release(id, Some(feedback), when);
    }
}
