//! Tests of the verdict on a new version.

use std::time::Duration;

use balance::verdict::{Outcomes, Tally, Verdict};

use crate::cases;

/// The latency objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(2000);

fn outcomes(requests: u32, failures: u32, mean_ms: u64) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for i in 0..requests {
        outcomes.record(i < failures, Duration::from_millis(mean_ms), OBJECTIVE);
    }
    outcomes
}

fn check_verdict(old: Outcomes, new: Outcomes, expected: Verdict) {
    assert_eq!(Tally { old, new }.verdict(), expected);
}

cases! {
    undecided_without_requests =>
        check_verdict(Outcomes::default(), Outcomes::default(), Verdict::Undecided);
    undecided_after_few_requests =>
        check_verdict(outcomes(100, 0, 200), outcomes(5, 1, 200), Verdict::Undecided);
    similar_outcomes_are_good =>
        check_verdict(outcomes(500, 1, 200), outcomes(40, 0, 220), Verdict::Good);
    half_failing_is_bad =>
        check_verdict(outcomes(500, 1, 200), outcomes(10, 5, 200), Verdict::Bad);
    many_early_failures_are_bad =>
        check_verdict(Outcomes::default(), outcomes(6, 5, 200), Verdict::Bad);
    failing_like_the_old_version_is_not_bad =>
        check_verdict(outcomes(200, 60, 200), outcomes(40, 14, 200), Verdict::Good);
    many_times_slower_is_bad =>
        check_verdict(outcomes(500, 0, 200), outcomes(12, 0, 1600), Verdict::Bad);
    noisy_neighbours_on_some_machines_are_not_bad =>
        check_verdict(outcomes(500, 0, 200), outcomes(12, 0, 350), Verdict::Good);
}

#[test]
fn outcomes_of_instances_add_up() {
    let half = Tally {
        old: outcomes(50, 0, 200),
        new: outcomes(3, 2, 200),
    };
    assert_eq!(half.verdict(), Verdict::Undecided);
    let mut sum = half;
    sum.merge(&half);
    sum.merge(&half);
    assert_eq!(sum.verdict(), Verdict::Bad);
}
