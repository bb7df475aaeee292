//! Tests of the offered load.

use std::time::Duration;

use balance::demand::Demand;

use crate::support::at;

#[test]
fn steady_load_is_estimated_correctly() {
    const TOLERANCE: f64 = 0.05;
    let mut demand = Demand::default();
    // Ten requests per second of 300 ms each are three concurrent requests.
    for tick in 0..100 {
        demand.record("gauge", Duration::from_millis(300), at(tick * 100));
    }
    let between = at(99 * 100 + 50);
    let [(service, load)] = &demand.offered_load(between)[..] else {
        panic!("exactly one service has load");
    };
    assert_eq!(service, "gauge");
    assert!((load - 3.0).abs() < 3.0 * TOLERANCE, "{load}");
}

#[test]
fn past_load_decays_within_seconds() {
    let mut demand = Demand::default();
    demand.record("gauge", Duration::from_secs(1), at(0));
    assert!(demand.offered_load(at(5000))[0].1 < 0.01);
}
