//! Tests of whether a request waits while servers have a free slot.
//!
//! Pattern: *a burst at servers of few slots*. One more request slows down the one that runs, but
//! the server completes more in total, so that nobody may be refused for a slot that is free.

use balance::query::Unavailable;
use balance::rollout::Filter;
use balance::server::Server;
use balance::table::Table;

use crate::cases;
use crate::support::{at, query, server, ME, PEER};

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

cases! {
    one_of_one_slot_is_taken => check(1, 1, false);
    one_of_two_slots_is_free => check(2, 1, true);
    both_of_two_slots_are_taken => check(2, 2, false);
    one_of_three_slots_is_free => check(3, 2, false);
    one_of_four_slots_is_free => check(4, 3, false);
    two_of_four_slots_are_free => check(4, 2, true);
    one_of_eight_slots_is_free => check(8, 7, false);
    idle_server_of_two_slots => idle_server_is_preferred();
}
