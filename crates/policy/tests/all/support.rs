//! What the tests share: names, a pool that is ready, and shorthands for events.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;
use policy::credit;
use policy::feedback::{Feedback, Outcome};
use policy::pool::{Config, Pool};
use policy::server::{Listing, State};
use policy::ticket::{self, Ticket};

/// Names each case of a property or scenario: `cases! { name => expression; }`.
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

/// Returns a pool with servers `s0`.. of version `v1`.
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

/// Returns feedback of an attempt.
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

/// Returns what the pool holds of the server `name`.
pub(crate) fn state(pool: &Pool, name: &str) -> State {
    let states = pool.snapshot();
    let state = states.into_iter().find(|s| s.name.as_str() == name);
    state.expect("the server is known")
}

/// A pool with callers that each make one call after another, and servers that answer as told.
pub(crate) struct Loop {
    pub(crate) pool: Pool,
    pub(crate) now: Instant,
    /// The server and the outcome of each attempt, by its end.
    pub(crate) log: Vec<(String, Outcome)>,
    /// The probes so far.
    pub(crate) probes: usize,
    flying: BTreeMap<(Instant, credit::Id), (String, Feedback)>,
    tickets: u64,
}

impl Loop {
    pub(crate) fn new(pool: Pool) -> Self {
        Self {
            pool,
            now: at(0),
            log: Vec::new(),
            probes: 0,
            flying: BTreeMap::new(),
            tickets: 0,
        }
    }

    /// Lets `callers` make calls for `duration`. `serve` says how a server answers, by its name and
    /// the number of requests that it has.
    pub(crate) fn run<F>(&mut self, callers: usize, duration: Duration, mut serve: F)
    where
        F: FnMut(&str, usize) -> Feedback,
    {
        let end = self.now + duration;
        while self.now < end {
            self.call(callers);
            for grant in self.pool.grant(self.now) {
                let name = grant.credit.server.as_str().to_owned();
                let busy = self.flying.values().filter(|(n, _)| *n == name).count() + 1;
                let feedback = serve(&name, busy);
                let key = (self.now + feedback.latency, grant.credit.id);
                self.flying.insert(key, (name, feedback));
            }
            self.probe(&mut serve);
            self.land(end);
        }
    }

    /// Returns the part of the attempts that went to `server`.
    pub(crate) fn part(&self, server: &str) -> f64 {
        let hits = self.log.iter().filter(|(name, _)| name == server).count();
        hits as f64 / self.log.len() as f64
    }

    /// Returns the number of attempts that ended as `outcome`.
    pub(crate) fn count(&self, outcome: Outcome) -> usize {
        self.log.iter().filter(|(_, o)| *o == outcome).count()
    }

    fn call(&mut self, callers: usize) {
        self.pool.take_dropped();
        while self.pool.queued() + self.flying.len() < callers {
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
        if let Some(order) = self.pool.probe(self.now) {
            self.probes += 1;
            let name = order.credit.server.as_str().to_owned();
            let feedback = serve(&name, 1);
            let key = (self.now + feedback.latency, order.credit.id);
            self.flying.insert(key, (name, feedback));
        }
    }

    /// Lets the next attempt end, or 5 ms pass.
    fn land(&mut self, end: Instant) {
        let idle = (self.now + ms(5)).min(end);
        let Some(entry) = self.flying.first_entry().filter(|e| e.key().0 <= idle) else {
            self.now = idle;
            return;
        };
        let ((when, id), (name, feedback)) = entry.remove_entry();
        self.now = when;
        self.log.push((name, feedback.outcome));
        self.pool.release(id, Some(feedback), when);
    }
}
