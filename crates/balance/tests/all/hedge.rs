//! Tests of when a request is sent to a second server.
//!
//! Patterns: *a server that turns slow during a request* and *a server that stops responding*.

use std::time::Duration;

use balance::budget::{Bound, Budget};
use balance::hedge::{delays, Overdue};

use crate::cases;
use crate::support::at;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Checks each of the two decisions for a request with an objective of 200 ms and a deadline of
/// 500 ms that was expected to take 60 ms.
fn check(second: Duration, expected: [bool; 2]) {
    for (check, (delay, expected)) in delays(ms(60)).into_iter().zip(expected).enumerate() {
        let overdue = Overdue {
            elapsed: delay,
            objective: ms(200),
            time_left: ms(500).saturating_sub(delay),
        };
        assert_eq!(overdue.needs_second(check, second), expected, "{delay:?}");
    }
}

cases! {
    second_server_that_meets_the_objective => check(ms(60), [true, true]);
    second_server_that_meets_the_deadline_only => check(ms(240), [false, true]);
    second_server_that_meets_neither => check(ms(400), [false, false]);
}

#[test]
fn requests_that_failed_keep_part_of_the_budget() {
    let bound = Bound {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    let mut budget = Budget::new(bound, 1);
    for _ in 0..100 {
        budget.record_request("gauge", at(1));
    }
    let hedges = (0..100)
        .filter(|_| budget.try_hedge("gauge", at(2)))
        .count();
    let retries = (0..100)
        .filter(|_| budget.try_retry("gauge", at(3)))
        .count();
    assert!(hedges > 0 && retries >= hedges / 2, "{hedges} {retries}");
    assert!(hedges + retries <= 20, "{hedges} {retries}");
}
