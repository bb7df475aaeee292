//! Tests of the queueing model.

use std::time::Duration;

use measure::contender::Contender;
use measure::fit::Fit;
use measure::ideal;
use measure::scenario::Scenario;
use measure::summary::Summary;
use measure::traffic::{Traffic, MEAN_WORK};

/// Defines one test for each case.
macro_rules! cases {
    ($($name:ident => $run:expr;)*) => {$(
        #[test]
        fn $name() {
            $run
        }
    )*};
}

cases! {
    steady_calls_have_the_requested_load => check_load(Traffic::Steady);
    shifting_calls_have_the_requested_load => check_load(Traffic::Shifting);
    bursts_have_the_requested_load => check_load(Traffic::Bursts);
    a_run_is_determined_by_its_seed => x();
    no_balancer_is_faster_than_the_ideal => check_lower_bound();
    credits_keep_servers_within_their_slots => check_slots();
    fits_find_lines_and_powers => check_fits();
}

/// Returns a scenario of 3 s with 10 servers.
fn short(traffic: Traffic, load: f64) -> Scenario {
    let mut scenario = Scenario::plain(10, traffic, load);
    scenario.duration = Duration::from_secs(3);
    scenario
}

fn check_load(traffic: Traffic) {
    let scenario = short(traffic, 0.8);
    let calls = scenario.calls(7);
    let work: Duration = calls.iter().map(|call| call.work).sum();
    let slots = scenario.site.slots() as f64;
    let load = work.as_secs_f64() / slots / scenario.duration.as_secs_f64();
    assert!((load - 0.8).abs() < 0.03, "{load}");
    let mean = work.as_secs_f64() / calls.len() as f64;
    assert!(
        (mean / MEAN_WORK.as_secs_f64() - 1.0).abs() < 0.03,
        "{mean}"
    );
    assert!(calls.is_sorted_by_key(|call| call.at));
}

fn x() {
    let scenario = short(Traffic::Shifting, 0.6);
    for contender in Contender::ALL {
        let run = |seed| contender.run(&scenario, &scenario.calls(seed), seed);
        assert!(run(1).latencies == run(1).latencies, "{contender:?}");
        assert!(run(1).latencies != run(2).latencies, "{contender:?}");
    }
}

fn check_lower_bound() {
    let scenario = short(Traffic::Steady, 0.6);
    let calls = scenario.calls(1);
    let best = Summary::of(&ideal::run(&scenario.site, &calls, scenario.settled));
    for contender in Contender::ALL {
        let own = Summary::of(&contender.run(&scenario, &calls, 1));
        assert!(own.ratios(&best).iter().all(|r| *r >= 1.0), "{contender:?}");
    }
}

fn check_slots() {
    let scenario = short(Traffic::Bursts, 0.95);
    let calls = scenario.calls(1);
    for contender in Contender::CREDITS {
        assert_eq!(contender.run(&scenario, &calls, 1).over_slots, 0);
    }
    assert!(Contender::Rotation.run(&scenario, &calls, 1).over_slots > 0);
}

fn check_fits() {
    let line = Fit::line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    let power = Fit::exponent(&[(1.0, 3.0), (2.0, 12.0), (10.0, 300.0)]);
    assert!((power - 2.0).abs() < 1e-9, "{power}");
}
