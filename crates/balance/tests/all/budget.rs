//! Tests of the retry budget: the retries of all instances together stay within the bound of the
//! fleet, whatever the instances know of each other.

use std::time::Duration;

use arbtest::arbtest;
use balance::budget::{Bound, Budget};

use crate::support::at;

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 64.0,
    window: Duration::from_secs(10),
};

/// If the fleet is larger than any instance knows, the bound holds for each instance only.
#[test]
fn total_stays_within_the_bound_in_any_window() {
    arbtest(|u| {
        let instances = u.int_in_range(1..=40_usize)?;
        let mut budgets: Vec<Budget> = (0..instances)
            .map(|_| Budget::new(BOUND, instances))
            .collect();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = 0;
        for _ in 0..u.int_in_range(0..=400_usize)? {
            now += u.int_in_range(0..=200_u64)?;
            let budget = &mut budgets[u.choose_index(instances)?];
            if u.arbitrary()? {
                budget.record_request("gauge", at(now));
                requests.push(now);
            } else if budget.try_retry("gauge", at(now)) {
                retries.push(now);
            }
        }
        let window_ms = 10_000;
        for end in &retries {
            let within = |times: &[u64]| {
                times
                    .iter()
                    .filter(|t| **t <= *end && **t + window_ms > *end)
                    .count() as f64
            };
            assert!(within(&retries) <= BOUND.ratio * within(&requests) + BOUND.slack);
        }
        Ok(())
    });
}

#[test]
fn smaller_fleet_does_not_raise_the_share() {
    let mut budget = Budget::new(BOUND, 32);
    budget.observe_instances(3);
    let granted = (0..100)
        .filter(|_| budget.try_retry("gauge", at(0)))
        .count();
    assert_eq!(granted, 2, "64 retries shared by 32 instances");
}

#[test]
fn budgets_of_services_are_independent() {
    let mut budget = Budget::new(BOUND, 64);
    assert!(budget.try_retry("gauge", at(0)));
    assert!(!budget.try_retry("gauge", at(0)));
    assert!(budget.try_retry("herdwatch", at(0)));
}
