//! Tests of the slowdown model.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use balance::report::Report;
use balance::slowdown::Model;
use clock::Instant;

use crate::support::{at, report};

fn hash<T>(subject: &T) -> u64
where
    T: Hash,
{
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish()
}

/// Returns a model of servers whose slowdown is drawn anew each `period_ms` milliseconds: for a
/// quarter of the time, work takes four times as long. Fast servers report more often than slow
/// ones.
fn model(period_ms: u64) -> Model {
    const SERVERS: u64 = 20;
    const END_MS: u64 = 120_000;
    let mut model = Model::default();
    for server in 0..SERVERS {
        let mut previous: Option<(Report, Instant)> = None;
        let mut time = server * 7;
        while time < END_MS {
            let slow = hash(&(time / period_ms, server)) % 4 == 0;
            let current = report(0, if slow { 400 } else { 100 });
            model.record(previous, current, at(time));
            previous = Some((current, at(time)));
            time += if slow { 150 } else { 30 };
        }
    }
    model
}

#[test]
fn averages_are_weighted_by_time_rather_than_by_reports() {
    let mean = model(300).mean();
    // Weighted by reports it would be 1.2, because a fast server makes five times as many.
    assert!((1.5..2.0).contains(&mean), "{mean}");
}

#[test]
fn persistence_reflects_how_long_slowdowns_last() {
    let (short, long) = (
        model(100).persistence_secs(),
        model(2000).persistence_secs(),
    );
    assert!(short * 3.0 < long, "{short} {long}");
}

#[test]
fn prediction_decays_to_the_average() {
    let model = model(300);
    let (fresh, old) = (model.predict(4.0, 0.0), model.predict(4.0, 10.0));
    assert!((fresh - 4.0).abs() < 1e-9);
    assert!((old - model.mean()).abs() < 1e-3);
}

#[test]
fn long_work_on_a_slow_server_speeds_up() {
    let model = model(300);
    assert!(
        model.predicted_duration(0.001, 4.0) > 0.0039,
        "short work takes as long as the server reports"
    );
    assert!(
        model.predicted_duration(2.0, 4.0) < 2.0 * 3.0,
        "the server becomes fast again during long work"
    );
}
