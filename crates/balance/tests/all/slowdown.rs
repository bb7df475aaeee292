//! What is learned of how the pace of servers changes.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use balance::report::Report;
use balance::slowdown::Model;
use clock::Instant;

use crate::support::{at, report};

fn drawn<T>(subject: &T) -> u64
where
    T: Hash,
{
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

/// Learns from servers whose neighbours come and go each `redraw` milliseconds: a quarter of the
/// time work takes four times as long. Fast servers report more often than slow ones.
fn learn(redraw: u64) -> Model {
    const SERVERS: u64 = 20;
    const END: u64 = 120_000;
    let mut pace = Model::default();
    for server in 0..SERVERS {
        let mut before: Option<(Report, Instant)> = None;
        let mut time = server * 7;
        while time < END {
            let slow = drawn(&(time / redraw, server)) % 4 == 0;
            let seen = report(0, if slow { 400 } else { 100 });
            pace.record(before, seen, at(time));
            before = Some((seen, at(time)));
            time += if slow { 150 } else { 30 };
        }
    }
    pace
}

#[test]
fn average_is_that_of_time_and_not_of_reports() {
    let mean = learn(300).mean();
    // By reports it would be 1.2, as a fast server makes five times as many.
    assert!((1.5..2.0).contains(&mean), "{mean}");
}

#[test]
fn lasting_paces_are_told_from_short_ones() {
    let (short, long) = (
        learn(100).persistence_secs(),
        learn(2000).persistence_secs(),
    );
    assert!(short * 3.0 < long, "{short} {long}");
}

#[test]
fn belief_in_a_report_fades_to_the_average() {
    let pace = learn(300);
    let (fresh, old) = (pace.predict(4.0, 0.0), pace.predict(4.0, 10.0));
    assert!((fresh - 4.0).abs() < 1e-9);
    assert!((old - pace.mean()).abs() < 1e-3);
}

#[test]
fn long_work_on_a_slow_server_does_not_stay_slow() {
    let pace = learn(300);
    assert!(
        pace.predicted_duration(0.001, 4.0) > 0.0039,
        "short work takes as long as the server says"
    );
    assert!(
        pace.predicted_duration(2.0, 4.0) < 2.0 * 3.0,
        "long work sees the server turn fast again"
    );
}
