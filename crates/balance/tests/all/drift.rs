//! Tests of how a new version that is slow is found.
//!
//! Patterns: *slow requests that have not ended* (half of the requests to a version take many times
//! longer, so that mostly fast ones have ended), and *a version that turns slow under load*.

use std::time::Duration;

use balance::drift::Drift;
use balance::verdict::{Outcomes, Tally, Verdict};

use crate::cases;

/// The latency objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(1000);

fn outcomes(in_time: u32, late: u32, overdue: u32) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for i in 0..in_time + late {
        let duration = OBJECTIVE.mul_f64(if i < late { 2.0 } else { 0.5 });
        outcomes.record(false, duration, OBJECTIVE);
    }
    outcomes.overdue = overdue;
    outcomes
}

/// Checks the verdict after each of the tallies of the new version.
fn check(old: Outcomes, steps: &[(Outcomes, Verdict)]) {
    let mut drift = Drift::default();
    for (new, expected) in steps {
        drift.update(&Tally { old, new: *new });
        assert_eq!(drift.verdict(), *expected, "after {new:?}");
    }
}

cases! {
    undecided_without_requests =>
        check(outcomes(100, 5, 0), &[(Outcomes::default(), Verdict::Undecided)]);
    similar_speed_is_good =>
        check(outcomes(300, 30, 0), &[(outcomes(20, 2, 0), Verdict::Good)]);
    slow_requests_that_have_not_ended_are_bad =>
        check(outcomes(300, 15, 5), &[(outcomes(10, 0, 9), Verdict::Bad)]);
    late_requests_of_a_busy_day_leave_it_open =>
        check(outcomes(160, 40, 8), &[
            (outcomes(5, 4, 1), Verdict::Undecided),
            (outcomes(8, 4, 3), Verdict::Undecided),
            (outcomes(17, 6, 4), Verdict::Undecided),
        ]);
    slow_version_on_a_busy_day_is_bad =>
        check(outcomes(240, 74, 16), &[(outcomes(26, 11, 15), Verdict::Bad)]);
    busy_day_for_both_versions_is_good =>
        check(outcomes(160, 40, 8), &[(outcomes(40, 10, 2), Verdict::Good)]);
    version_that_turns_slow_under_load_is_bad =>
        check(outcomes(400, 20, 0), &[
            (outcomes(200, 10, 0), Verdict::Good),
            (outcomes(206, 10, 10), Verdict::Bad),
        ]);
    counts_of_an_instance_that_ended_do_no_harm =>
        check(outcomes(300, 15, 0), &[
            (outcomes(40, 2, 0), Verdict::Good),
            (outcomes(30, 1, 0), Verdict::Good),
        ]);
}
