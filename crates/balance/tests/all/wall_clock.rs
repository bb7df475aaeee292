//! Tests of the true time that instances agree on.
//!
//! Patterns: *the time of day of some instances jumps and jumps back*, *this instance's own does*,
//! and *messages that waited while this instance was paused*.

use std::time::Duration;

use arbtest::arbtest;
use balance::wall_clock::WallClock;

use crate::cases;
use crate::support::at;

/// True time at the origin of the steady clock, in milliseconds.
const START_MS: i64 = 1_767_225_600_000;

/// Returns the time of day, at `now_ms` on the steady clock, of a machine that is `error_ms` ahead.
fn time_of_day(now_ms: u64, error_ms: i64) -> Duration {
    let millis = START_MS + i64::try_from(now_ms).unwrap() + error_ms;
    Duration::from_millis(u64::try_from(millis).unwrap())
}

/// Returns by how many milliseconds `clock` is ahead of true time.
fn error_ms(clock: &WallClock, now_ms: u64) -> i64 {
    let millis = i64::try_from(clock.time(at(now_ms)).as_millis()).unwrap();
    millis - START_MS - i64::try_from(now_ms).unwrap()
}

fn open(own_error_ms: i64) -> WallClock {
    WallClock::new(time_of_day(0, own_error_ms), at(0))
}

/// Guards against counts in a wrong window while the instance's own time of day is wrong.
fn own_jump_is_ignored(others: u64, jump_ms: i64) {
    let mut clock = open(0);
    for now in (250..20_000).step_by(250) {
        for other in 1..=others {
            clock.record(other, time_of_day(now, 0), at(now));
        }
        let error = if now < 3000 { 0 } else { jump_ms };
        clock.record_own(time_of_day(now, error), at(now));
        assert_eq!(error_ms(&clock, now), 0, "at {now} ms");
    }
}

/// Guards against an instance that starts with a wrong time of day and keeps it.
fn wrong_time_at_the_start_is_corrected() {
    let mut clock = open(-4000);
    clock.record(1, time_of_day(10, 0), at(10));
    clock.record(2, time_of_day(20, 1), at(20));
    assert_eq!(error_ms(&clock, 20), 0);
}

/// Guards against messages that were sent while this instance was paused: each seems to be from an
/// instance whose time of day is behind by the length of the pause.
fn delayed_messages_are_ignored() {
    const PAUSE_MS: u64 = 5000;
    let mut clock = open(0);
    for now in [250, 500] {
        for other in 1..=5 {
            clock.record(other, time_of_day(now, 0), at(now));
        }
    }
    let resumed_at = 750 + PAUSE_MS;
    for sent_at in [750, 1000, 1250] {
        for other in 1..=5 {
            clock.record(other, time_of_day(sent_at, 0), at(resumed_at));
        }
    }
    assert_eq!(error_ms(&clock, resumed_at), 0);
}

/// Guards against state that grows with the identities that messages name.
fn state_is_bounded() {
    let mut clock = open(0);
    for other in 0..100_000 {
        clock.record(other, time_of_day(0, 0), at(0));
    }
    assert!(clock.instances() <= 300);
    clock.record(1, time_of_day(120_000, 0), at(120_000));
    assert_eq!(clock.instances(), 2);
}

fn extreme_times_do_not_panic() {
    let mut clock = open(0);
    for time in [Duration::ZERO, Duration::MAX] {
        clock.record_own(time, at(1));
        clock.record(1, time, at(u64::MAX / 1000));
        let _ = clock.time(at(u64::MAX / 1000));
    }
}

cases! {
    own_jump_forward_with_one_other => own_jump_is_ignored(1, 7000);
    own_jump_backward_with_one_other => own_jump_is_ignored(1, -7000);
    own_jump_backward_with_two_others => own_jump_is_ignored(2, -7000);
    start_with_a_wrong_time_of_day => wrong_time_at_the_start_is_corrected();
    messages_delayed_by_a_pause => delayed_messages_are_ignored();
    identities_without_end => state_is_bounded();
    extreme_times_of_day => extreme_times_do_not_panic();
}

/// While fewer than half of the instances are wrong, whichever these are at the moment, the time is
/// as close to true time as the others' and their messages.
#[test]
fn time_is_true_while_most_instances_are_right() {
    const SKEW_MS: i64 = 30;
    const LATENCY_MS: i64 = 40;
    // A wrong offset counts until an instance's last ones are newer.
    const SETTLE_ROUNDS: u64 = 8;
    arbtest(|u| {
        let count: usize = u.int_in_range(3..=9)?;
        let skews: Vec<i64> = (0..count)
            .map(|_| u.int_in_range(-SKEW_MS..=SKEW_MS))
            .collect::<Result<_, _>>()?;
        let mut clock = open(skews[0]);
        let mut round: u64 = 0;
        for _ in 0..u.int_in_range(1..=4)? {
            let wrong = u.int_in_range(0..=(count - 1) / 2)?;
            let first = u.choose_index(count)?;
            let jump: i64 = u.int_in_range(-9_000..=9_000)?;
            for phase in 0..u.int_in_range(SETTLE_ROUNDS..=16)? {
                round += 1;
                let now = round * 250;
                for (i, skew) in skews.iter().enumerate() {
                    let is_wrong = (i + count - first) % count < wrong;
                    let error = skew + if is_wrong { jump } else { 0 };
                    if i == 0 {
                        clock.record_own(time_of_day(now, error), at(now));
                        continue;
                    }
                    let latency = u.int_in_range(0..=LATENCY_MS)?;
                    let time = time_of_day(now, error - latency);
                    clock.record(u64::try_from(i).unwrap(), time, at(now));
                }
                let error = error_ms(&clock, now);
                let is_true = (-SKEW_MS - LATENCY_MS..=SKEW_MS).contains(&error);
                assert!(
                    is_true || phase < SETTLE_ROUNDS - 1,
                    "{error} ms in round {round}, {wrong} of {count} wrong by {jump} ms"
                );
            }
        }
        Ok(())
    });
}
