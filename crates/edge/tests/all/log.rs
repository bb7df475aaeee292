//! The rate limiter for log records.

use std::time::Duration;

use clock::Instant;
use edge::log::Limiter;

use crate::cases;

/// Checks which of the records at `millis` are logged, with how many suppressed ones before.
fn check(limiter: Limiter, millis: &[u64], expected: &[Option<u64>]) {
    let at = |millis: u64| Instant::default() + Duration::from_millis(millis);
    let passed: Vec<Option<u64>> = millis.iter().map(|m| limiter.pass(at(*m))).collect();
    assert_eq!(passed, expected);
}

fn every_ten_millis() -> Limiter {
    Limiter::new(Duration::from_millis(10))
}

cases! {
    one_record_is_logged_in_each_interval =>
        check(every_ten_millis(), &[5, 5, 14, 15], &[Some(0), None, None, Some(2)]);
    records_of_a_burst_are_logged_at_once =>
        check(every_ten_millis().with_burst(3), &[5, 5, 6, 6], &[Some(0), Some(0), Some(0), None]);
    burst_is_allowed_again_only_after_its_intervals =>
        check(
            every_ten_millis().with_burst(2),
            &[5, 5, 16, 16, 40, 40, 40],
            &[Some(0), Some(0), Some(0), None, Some(1), Some(0), None],
        );
}
