//! Tests of the schedule of a shutdown.

use std::time::Duration;

use arbtest::arbtest;
use balance::shutdown::Schedule;
use clock::Instant;

use crate::cases;
use crate::support::at;

const GRACE: Duration = Duration::from_secs(6);

/// Checks whether a request that arrives `now_ms` after the shutdown began, and whose caller waits
/// for `wait_ms`, is passed on.
fn check(now_ms: u64, wait_ms: u64, admitted: bool) {
    let schedule = Schedule::new(at(0), GRACE);
    let now = at(now_ms);
    let deadline = now + Duration::from_millis(wait_ms);
    assert_eq!(schedule.admits(deadline, now), admitted);
}

cases! {
    long_request_is_admitted_before_callers_are_routed_elsewhere => check(0, 5000, true);
    long_request_is_admitted_shortly_before => check(2400, 5000, true);
    long_request_is_refused_when_it_may_be_cut => check(2600, 5000, false);
    short_request_is_admitted_while_it_ends_before_the_exit => check(4000, 800, true);
    short_request_is_refused_when_it_may_be_cut => check(4500, 800, false);
}

/// Guards against requests that are passed on late in the grace period and cut when the process
/// exits.
#[test]
fn late_requests_end_before_the_exit() {
    arbtest(|u| {
        let grace = Duration::from_millis(u.int_in_range(0..=60_000)?);
        let started_at = at(u.int_in_range(0..=1_000_000)?);
        let now = started_at + Duration::from_millis(u.int_in_range(0..=60_000)?);
        let deadline = now + Duration::from_millis(u.int_in_range(0..=60_000)?);
        let schedule = Schedule::new(started_at, grace);
        if now >= schedule.close_idle_at && schedule.admits(deadline, now) {
            assert!(deadline < schedule.exit_at || schedule.exit_at <= schedule.close_idle_at);
        }
        assert!(schedule.exit_at <= started_at + grace);
        assert!(schedule.admits(Instant::ZERO, now));
        Ok(())
    });
}
