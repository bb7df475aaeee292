//! The work that callers ask for.

use std::time::Duration;

use balance::demand::Demand;

use crate::support::at;

#[test]
fn steady_work_is_told_as_it_is() {
    const TOLERANCE: f64 = 0.05;
    let mut demand = Demand::default();
    // Ten requests a second of 300 ms each are three at a time.
    for tick in 0..100 {
        demand.record("gauge", Duration::from_millis(300), at(tick * 100));
    }
    let middle = at(99 * 100 + 50);
    let [(service, level)] = &demand.offered_load(middle)[..] else {
        panic!("one service is known");
    };
    assert_eq!(service, "gauge");
    assert!((level - 3.0).abs() < 3.0 * TOLERANCE, "{level}");
}

#[test]
fn work_that_ends_is_forgotten_within_seconds() {
    let mut demand = Demand::default();
    demand.record("gauge", Duration::from_secs(1), at(0));
    assert!(demand.offered_load(at(5000))[0].1 < 0.01);
}
