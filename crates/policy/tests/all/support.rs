//! What the tests share: names, a pool that is ready, and shorthands for events.

use std::time::Duration;

use clock::Instant;
use contract::id;
use policy::evidence::{Evidence, Outcome};
use policy::pool::{Config, Pool};
use policy::server::Listed;
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
pub(crate) fn listed(name: &str, version: &str) -> Listed {
    Listed {
        name: name.into(),
        version: version.into(),
        leaving: false,
    }
}

/// Returns a pool with servers `s0`.. of version `v1`.
pub(crate) fn pool(config: Config, servers: usize) -> Pool {
    let names: Vec<Listed> = (0..servers)
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

/// Returns evidence of an attempt.
pub(crate) fn evidence(outcome: Outcome, latency: Duration) -> Evidence {
    Evidence {
        outcome,
        latency,
        start_id: None,
        route: "r".into(),
        fingerprint: None,
        draining: false,
    }
}
