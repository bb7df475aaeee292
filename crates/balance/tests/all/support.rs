//! Test helpers: servers, load reports and queries.

use std::time::Duration;

use balance::query::Query;
use balance::report::Report;
use balance::rollout::Filter;
use balance::server::{Key, Server};
use balance::table::Table;
use clock::Instant;

/// The instance whose table is tested.
pub(crate) const ME: u64 = 1;

/// Another instance of the same data centre.
pub(crate) const PEER: u64 = 2;

pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(crate) fn server(id: &str, centre: &str) -> Server {
    let port = id.bytes().fold(1000_u16, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(b.into())
    });
    Server {
        id: id.to_owned(),
        service: "gauge".to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        centre: centre.to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        sequence: 1,
        started_at_ms: 1,
    }
}

/// Returns a table in `east` with `count` servers there, and their keys.
pub(crate) fn table(count: usize, now: Instant) -> (Table, Vec<Key>) {
    let servers: Vec<Server> = (0..count)
        .map(|i| server(&format!("s{i}"), "east"))
        .collect();
    let mut table = Table::new(ME, "east");
    table.update(servers.iter(), false, now);
    (table, servers.iter().map(Server::key).collect())
}

pub(crate) fn report(requests: u32, slowdown_percent: u32) -> Report {
    Report {
        running: requests,
        waiting: 0,
        slots: 4,
        slowdown_percent,
    }
}

pub(crate) fn query<'a>(versions: &'a Filter, tried: &'a [Key], seed: u64) -> Query<'a> {
    Query {
        service: "gauge",
        versions,
        tried,
        work: Duration::from_millis(220),
        time_left: Duration::from_secs(60),
        seed,
    }
}
