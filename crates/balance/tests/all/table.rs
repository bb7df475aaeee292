//! Tests of how a server is chosen for a request.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use balance::backend::Outcome;
use balance::query::Unavailable;
use balance::rollout::Filter;
use balance::server::{Key, Server};
use balance::table::Table;
use clock::Instant;

use crate::support::{at, query, report, server, table, ME, PEER};

fn choose(table: &Table, now: Instant) -> Result<Key, Unavailable> {
    table
        .choose(&query(&Filter::Base, &[], 7), now)
        .map(|c| c.key)
}

#[test]
fn slow_server_is_avoided_while_its_report_is_fresh() {
    let (mut table, keys) = table(2, at(0));
    table.record_report(keys[0], report(0, 400), at(10));
    table.record_report(keys[1], report(0, 100), at(10));
    assert_eq!(choose(&table, at(12)), Ok(keys[1]));
}

#[test]
fn requests_of_other_instances_count() {
    let (mut table, keys) = table(2, at(0));
    table
        .get_mut(keys[0])
        .unwrap()
        .set_in_flight(PEER, 3, at(0));
    assert_eq!(choose(&table, at(1)), Ok(keys[1]));
}

#[test]
fn requests_of_a_silent_instance_expire() {
    let (mut table, keys) = table(1, at(0));
    table
        .get_mut(keys[0])
        .unwrap()
        .set_in_flight(PEER, 4, at(0));
    assert_eq!(choose(&table, at(1)), Err(Unavailable::NoCapacity));
    table.expire_in_flight(Duration::from_secs(2), at(10_000));
    assert_eq!(choose(&table, at(10_000)), Ok(keys[0]));
}

#[test]
fn requests_wait_while_all_servers_are_at_their_knee() {
    let (mut table, keys) = table(2, at(0));
    for key in &keys {
        table.get_mut(*key).unwrap().set_in_flight(PEER, 3, at(0));
    }
    assert_eq!(choose(&table, at(1)), Err(Unavailable::NoCapacity));
    table
        .get_mut(keys[1])
        .unwrap()
        .set_in_flight(PEER, 2, at(2));
    assert_eq!(choose(&table, at(3)), Ok(keys[1]));
}

#[test]
fn shedding_server_gets_no_requests_for_a_moment() {
    let (mut table, keys) = table(1, at(0));
    table
        .get_mut(keys[0])
        .unwrap()
        .record_outcome(Outcome::Shed, at(5));
    assert_eq!(choose(&table, at(6)), Err(Unavailable::NoCapacity));
    assert_eq!(choose(&table, at(1000)), Ok(keys[0]));
}

#[test]
fn failing_server_is_avoided_until_its_failures_have_decayed() {
    let (mut table, keys) = table(2, at(0));
    let failing = table.get_mut(keys[0]).unwrap();
    for _ in 0..5 {
        failing.record_outcome(Outcome::Failed, at(5));
    }
    for key in &keys {
        table.record_report(*key, report(0, 100), at(5));
    }
    let chosen_count = |table: &Table, now| {
        let chosen = (0..50).filter(|seed| {
            let choice = table.choose(&query(&Filter::Base, &[], *seed), now);
            choice.is_ok_and(|c| c.key == keys[0])
        });
        chosen.count()
    };
    assert_eq!(chosen_count(&table, at(6)), 0);
    assert!(chosen_count(&table, at(60_000)) > 10);
}

#[test]
fn tried_servers_are_not_chosen_again() {
    let (table, keys) = table(2, at(0));
    let choice = table
        .choose(&query(&Filter::Base, &keys[..1], 7), at(1))
        .unwrap();
    assert_eq!(choice.key, keys[1]);
}

#[test]
fn draining_server_gets_no_requests() {
    let mut draining = server("s0", "east");
    draining.draining = true;
    let mut table = Table::new(ME, "east");
    table.update([&draining].into_iter(), false, at(0));
    assert_eq!(choose(&table, at(1)), Err(Unavailable::NoServers));
}

#[test]
fn cold_server_is_warmed_up_by_one_instance_at_its_rate() {
    let mut cold = server("s0", "east");
    cold.warmup_left = Duration::from_secs(3);
    let mut table = Table::new(ME, "east");
    table.update([&cold].into_iter(), false, at(0));
    table.set_warmup_rates(HashMap::from([("gauge".to_owned(), 5.0)]));
    assert_eq!(
        choose(&table, at(1)),
        Err(Unavailable::NoCapacity),
        "another instance warms it up"
    );
    table.assign_duties(&[ME]);
    assert_eq!(choose(&table, at(1)), Ok(cold.key()));
    table.start(cold.key(), at(1));
    assert_eq!(
        choose(&table, at(100)),
        Err(Unavailable::NoCapacity),
        "it got a request a moment ago"
    );
    assert_eq!(choose(&table, at(400)), Ok(cold.key()));
}

#[test]
fn server_that_broke_a_connection_has_to_answer_a_probe() {
    let (mut table, keys) = table(1, at(0));
    table
        .get_mut(keys[0])
        .unwrap()
        .record_connection_failure(true, at(1));
    assert_eq!(choose(&table, at(2)), Err(Unavailable::NoCapacity));
    table
        .get_mut(keys[0])
        .unwrap()
        .record_probe(Duration::ZERO, at(3));
    assert_eq!(choose(&table, at(4)), Ok(keys[0]));
}

#[test]
fn evacuated_data_centre_gets_no_requests_and_is_probed_when_it_returns() {
    let (mut table, keys) = table(1, at(0));
    table.set_evacuated(HashSet::from(["east".to_owned()]));
    assert_eq!(choose(&table, at(1)), Err(Unavailable::NoServers));
    table.set_evacuated(HashSet::new());
    assert_eq!(
        choose(&table, at(2)),
        Err(Unavailable::NoCapacity),
        "it may have become cold"
    );
    table
        .get_mut(keys[0])
        .unwrap()
        .record_probe(Duration::from_secs(2), at(3));
    assert_eq!(
        choose(&table, at(4)),
        Err(Unavailable::NoCapacity),
        "it has become cold"
    );
}

#[test]
fn entries_that_expire_in_an_outage_are_kept_for_a_while() {
    let (mut table, keys) = table(1, at(0));
    table.update(std::iter::empty(), true, at(100));
    assert_eq!(choose(&table, at(101)), Ok(keys[0]));
    table.drop_missing(Duration::from_secs(2), at(2200));
    assert_eq!(choose(&table, at(2201)), Err(Unavailable::NoServers));
}

#[test]
fn entries_removed_without_an_outage_are_dropped() {
    let (mut table, _) = table(1, at(0));
    table.update(std::iter::empty(), false, at(100));
    assert_eq!(choose(&table, at(101)), Err(Unavailable::NoServers));
}

#[test]
fn late_entry_does_not_restore_a_draining_server() {
    let (mut table, _) = table(1, at(0));
    let early = server("s0", "east");
    let mut draining = early.clone();
    (draining.draining, draining.sequence) = (true, 2);
    table.update([&draining].into_iter(), false, at(1));
    table.update([&early].into_iter(), false, at(2));
    assert_eq!(choose(&table, at(3)), Err(Unavailable::NoServers));
}

#[test]
fn late_entry_does_not_restore_a_removed_server() {
    let (mut table, keys) = table(1, at(0));
    table.update(std::iter::empty(), false, at(1));
    table.update([&server("s0", "east")].into_iter(), false, at(2));
    assert_eq!(choose(&table, at(3)), Err(Unavailable::NoServers));
    let mut newer = server("s0", "east");
    newer.sequence = 2;
    table.update([&newer].into_iter(), false, at(4));
    assert_eq!(choose(&table, at(5)), Ok(keys[0]));
}

#[test]
fn restarted_server_does_not_inherit_state_of_its_id() {
    let (mut table, keys) = table(1, at(0));
    table.start(keys[0], at(1));
    let mut restarted = server("s0", "east");
    restarted.started_at_ms = 2;
    table.update([&restarted].into_iter(), true, at(2));
    assert!(
        table.get(keys[0]).is_none(),
        "it is dropped also in an outage of the store"
    );
    assert_eq!(
        table.get(restarted.key()).map(|b| b.centre_in_flight()),
        Some(0)
    );
}

#[test]
fn local_servers_come_first_and_remote_ones_only_within_their_headroom() {
    let local = server("s0", "east");
    let remote = server("s1", "west");
    let mut table = Table::new(ME, "east");
    table.update([&local, &remote].into_iter(), false, at(0));
    assert_eq!(choose(&table, at(1)), Ok(local.key()));
    table
        .get_mut(local.key())
        .unwrap()
        .set_in_flight(PEER, 4, at(1));
    table.set_spillover_headroom("west", "gauge", 1.0);
    assert_eq!(choose(&table, at(2)), Ok(remote.key()));
    table.start(remote.key(), at(2));
    assert_eq!(
        choose(&table, at(3)),
        Err(Unavailable::NoCapacity),
        "the headroom of the other data centre is used up"
    );
}

#[test]
fn new_version_without_an_order_gets_no_requests() {
    let old: Vec<Server> = (0..3).map(|i| server(&format!("s{i}"), "east")).collect();
    let mut new = server("n0", "east");
    new.version = "v2".to_owned();
    let mut table = Table::new(ME, "east");
    table.update(old.iter().chain([&new]), false, at(0));
    for seed in 0..50 {
        let choice = table
            .choose(&query(&Filter::Base, &[], seed), at(1))
            .unwrap();
        assert_ne!(choice.key, new.key());
    }
}

#[test]
fn requests_spread_over_servers_without_reports() {
    let (table, keys) = table(8, at(0));
    let choices = (0..200).map(|seed| {
        table
            .choose(&query(&Filter::Base, &[], seed), at(1))
            .unwrap()
    });
    let chosen: HashSet<Key> = choices.map(|c| c.key).collect();
    assert_eq!(chosen.len(), keys.len());
}
