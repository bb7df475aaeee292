//! What is said of new versions.

use std::time::Duration;

use balance::verdict::{Outcomes, Tally, Verdict};

use crate::cases;

fn answers(ended: u32, failed: u32, millis: u64) -> Outcomes {
    let mut answers = Outcomes::default();
    for i in 0..ended {
        answers.record(i < failed, Duration::from_millis(millis));
    }
    answers
}

fn says(old: Outcomes, new: Outcomes, expected: Verdict) {
    assert_eq!(Tally { old, new }.verdict(), expected);
}

cases! {
    nothing_seen_says_nothing => says(Outcomes::default(), Outcomes::default(), Verdict::Undecided);
    few_answers_say_nothing => says(answers(100, 0, 200), answers(5, 1, 200), Verdict::Undecided);
    alike_is_good => says(answers(500, 1, 200), answers(40, 0, 220), Verdict::Good);
    half_failing_is_bad => says(answers(500, 1, 200), answers(10, 5, 200), Verdict::Bad);
    early_failures_are_bad_before_much_is_seen =>
        says(Outcomes::default(), answers(6, 5, 200), Verdict::Bad);
    failing_as_the_old_one_is_not_bad => says(answers(200, 60, 200), answers(40, 14, 200), Verdict::Good);
    many_times_slower_is_bad => says(answers(500, 0, 200), answers(12, 0, 1600), Verdict::Bad);
    a_neighbour_on_some_machines_is_not_bad => says(answers(500, 0, 200), answers(12, 0, 350), Verdict::Good);
}

#[test]
fn instances_add_up() {
    let half = Tally {
        old: answers(50, 0, 200),
        new: answers(3, 2, 200),
    };
    assert_eq!(half.verdict(), Verdict::Undecided);
    let mut sum = half;
    sum.merge(&half);
    sum.merge(&half);
    assert_eq!(sum.verdict(), Verdict::Bad);
}
