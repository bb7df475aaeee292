//! Tests of servers that become unreachable, or cold without notice.
//!
//! Failures guarded against: a data centre fails while many instances send to it, and each instance
//! has to find out by itself; a busy server becomes cold, which its responses do not show.

use std::time::Duration;

use balance::backend::Outcome;

use crate::cases;
use crate::support::{at, table, ME, PEER};

const THIRD: u64 = 3;

/// Checks whether a server counts as unreachable after failures of instances to reach it, given as
/// pairs of instance and time in milliseconds.
fn check_unreachable(failures: &[(u64, u64)], at_ms: u64, expected: bool) {
    let (mut table, keys) = table(1, at(0));
    let backend = table.get_mut(keys[0]).unwrap();
    for (instance, failed_at_ms) in failures {
        backend.record_unreachable(*instance, at(*failed_at_ms));
    }
    assert_eq!(backend.is_unreachable(at(at_ms)), expected);
}

cases! {
    one_failure_is_not_enough => check_unreachable(&[(PEER, 1)], 2, false);
    two_failures_of_one_instance_are_not_enough =>
        check_unreachable(&[(PEER, 1), (PEER, 50)], 51, false);
    failures_of_two_instances_are_enough => check_unreachable(&[(PEER, 1), (THIRD, 50)], 51, true);
    server_is_retried_after_a_while => check_unreachable(&[(PEER, 1), (THIRD, 50)], 400, false);
    failures_far_apart_do_not_add_up => check_unreachable(&[(PEER, 1), (THIRD, 1500)], 1501, false);
}

#[test]
fn response_resets_the_failures() {
    for answered in [true, false] {
        let (mut table, keys) = table(1, at(0));
        let backend = table.get_mut(keys[0]).unwrap();
        backend.record_unreachable(PEER, at(1));
        if answered {
            backend.record_outcome(Outcome::Answered, at(2));
        } else {
            backend.record_probe(Duration::ZERO, at(2));
        }
        backend.record_unreachable(ME, at(3));
        assert!(!backend.is_unreachable(at(4)));
    }
}

#[test]
fn requests_since_the_last_probe_are_counted() {
    let (mut table, keys) = table(1, at(0));
    let key = keys[0];
    table.start(key, at(1));
    table.start(key, at(2));
    table.finish(key, at(3));
    table.get_mut(key).unwrap().set_in_flight(PEER, 3, at(4));
    table.get_mut(key).unwrap().set_in_flight(PEER, 2, at(5));
    assert_eq!(table.get(key).unwrap().started_since_probe(), 5);
    table
        .get_mut(key)
        .unwrap()
        .record_probe(Duration::ZERO, at(6));
    assert_eq!(table.get(key).unwrap().started_since_probe(), 0);
}
