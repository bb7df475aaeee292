//! Tests of whether a request waits while servers have a free slot.
//!
//! Pattern: *a burst at servers of few slots*. One more request slows down the one that runs, but
//! the server completes more in total, so that nobody may be refused for a slot that is free.

use balance::query::{Query, Unavailable};
use balance::rollout::Filter;
use balance::server::Server;
use balance::table::Table;

use crate::cases;
use crate::support::{at, query, report, server, ME, PEER};

/// Checks whether a request is sent to a service of three servers with `slots` each, of which all
/// run `running` requests.
fn check(slots: u32, running: u32, is_sent: bool) {
    let servers: Vec<Server> = (0..3)
        .map(|i| Server {
            slots,
            ..server(&format!("s{i}"), "east")
        })
        .collect();
    let mut table = Table::new(ME, "east");
    table.update(servers.iter(), false, at(0));
    for server in &servers {
        let backend = table.get_mut(server.key()).unwrap();
        backend.set_in_flight(PEER, running, at(1));
    }
    let choice = table.choose(&query(&Filter::Base, &[], 7), at(2));
    if is_sent {
        assert!(choice.is_ok(), "{choice:?}");
    } else {
        assert_eq!(choice, Err(Unavailable::NoCapacity));
    }
}

/// An idle server is preferred to the second slot of a busy one.
fn idle_server_is_preferred() {
    let servers: Vec<Server> = (0..3)
        .map(|i| Server {
            slots: 2,
            ..server(&format!("s{i}"), "east")
        })
        .collect();
    let mut table = Table::new(ME, "east");
    table.update(servers.iter(), false, at(0));
    for server in &servers[1..] {
        let backend = table.get_mut(server.key()).unwrap();
        backend.set_in_flight(PEER, 1, at(1));
    }
    let choice = table.choose(&query(&Filter::Base, &[], 7), at(2));
    assert_eq!(choice.unwrap().key, servers[0].key());
}

/// A server that would miss the caller's deadline is not used, so that the request is refused as not
/// run while the caller has time to come back.
fn deadline_is_kept() {
    let servers = [server("s0", "east"), server("s1", "east")];
    let mut table = Table::new(ME, "east");
    table.update(servers.iter(), false, at(0));
    table.record_report(servers[0].key(), report(0, 800), at(1));
    table.record_report(servers[1].key(), report(0, 100), at(1));
    let versions = Filter::Base;
    let expected = |server: &Server| {
        let backend = table.get(server.key()).unwrap();
        backend.expected_duration(query(&versions, &[], 7).work, &table.slowdown(), at(2))
    };
    let (slow, fast) = (expected(&servers[0]), expected(&servers[1]));
    assert!(slow > fast);
    let choose = |time_left| {
        let query = Query {
            time_left,
            ..query(&versions, &[], 7)
        };
        table.candidates(&query, at(2)).map(|all| all.len())
    };
    assert_eq!(choose(slow), Ok(2));
    assert_eq!(choose(fast), Ok(1));
    assert_eq!(choose(fast / 2), Err(Unavailable::NoCapacity));
}

cases! {
    server_that_would_miss_the_deadline => deadline_is_kept();
    one_of_one_slot_is_taken => check(1, 1, false);
    one_of_two_slots_is_free => check(2, 1, true);
    both_of_two_slots_are_taken => check(2, 2, false);
    one_of_three_slots_is_free => check(3, 2, false);
    one_of_four_slots_is_free => check(4, 3, false);
    two_of_four_slots_are_free => check(4, 2, true);
    one_of_eight_slots_is_free => check(8, 7, false);
    idle_server_of_two_slots => idle_server_is_preferred();
}
