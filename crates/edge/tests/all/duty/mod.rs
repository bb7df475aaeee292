//! The duty to report usage, with instances that fail, a store and a receiver in memory.
//!
//! Time is that of a clock which the tests advance, except in the tests with whole instances.

mod fleet;
mod instances;
mod receiver;
mod store;

use std::time::Duration;

use arbtest::arbtest;
use clock::Clock;

pub(crate) use self::fleet::usage_duty;
pub(crate) use self::receiver::AcceptingReceiver;

use self::fleet::{Fleet, CALLS_PER_SECOND, DUE_AFTER, LEASE_TIME, WINDOW};
use crate::cases;

const SECOND: Duration = Duration::from_secs(1);

/// Lets the fleet recover, and checks that all windows were reported in time.
fn check_all_in_time(mut fleet: Fleet) {
    fleet.run(DUE_AFTER + WINDOW);
    fleet.receiver.check();
    fleet.check_all_in_time();
}

/// Guards against windows that are left out or reported by several instances in calm times.
fn one_holder_reports_each_window() {
    let mut fleet = Fleet::open(3);
    fleet.run(60 * SECOND);
    let reports = fleet.receiver.reports();
    let windows: Vec<u64> = reports.iter().map(|a| a.report.window).collect();
    let first = Fleet::first_window();
    assert_eq!(windows, (first..first + 11).collect::<Vec<u64>>());
    assert!(reports.iter().all(|a| a.holder == reports[0].holder));
    assert_eq!(fleet.network().ends["sent"], 11);
    check_all_in_time(fleet);
}

/// Guards against calls of the store that grow with the number of candidates.
fn store_calls_do_not_grow_with_the_instances() {
    let calls = |instances| {
        let mut fleet = Fleet::open(instances);
        fleet.run(20 * SECOND);
        let before = fleet.store.calls();
        fleet.run(60 * SECOND);
        fleet.store.calls() - before
    };
    let alone = calls(1);
    assert_eq!(calls(6), alone);
    // One write fixes the report of a window, and one renews the lease between two of them.
    assert!(alone <= 2 * 12 + 1, "{alone} calls");
}

/// Guards against a report that is late because its holder was lost, at any time of a window.
fn lost_holder_is_replaced(millis: u64) {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.run(Duration::from_millis(millis));
    fleet.kill(holder);
    fleet.run(4 * WINDOW);
    assert_ne!(fleet.holder(), Some(holder));
    check_all_in_time(fleet);
}

/// Guards against a successor that determines counts again which may have been sent.
fn pending_report_is_sent_unchanged() {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.receiver.set(receiver::Mode::LosingResponses);
    let accepted = fleet.receiver.accepted();
    fleet.run_until(|fleet, _| fleet.receiver.accepted() > accepted);
    fleet.kill(holder);
    fleet.receiver.set(receiver::Mode::Up);
    let sent = fleet.receiver.reports()[accepted].clone();
    fleet.run_until(|fleet, _| fleet.receiver.accepted() > accepted + 1);
    let again = fleet.receiver.reports()[accepted + 1].clone();
    assert_eq!(again.report, sent.report);
    assert_ne!(again.holder, sent.holder);
    check_all_in_time(fleet);
}

/// Guards against calls that follow each other without pause when they are refused.
fn refused_calls_are_spaced() {
    let mut fleet = Fleet::open(3);
    fleet.run_until_reporting();
    fleet.receiver.set(receiver::Mode::Busy);
    fleet.run(8 * SECOND);
    fleet.receiver.set(receiver::Mode::Up);
    fleet.run(WINDOW);
    let calls = fleet.receiver.calls();
    for (i, at) in calls.iter().enumerate() {
        let in_second = calls[i..].iter().filter(|c| c.since(*at) < SECOND);
        assert!(in_second.count() as f64 <= CALLS_PER_SECOND);
    }
    check_all_in_time(fleet);
}

/// Guards against late reports when the receiver is silent for a while.
fn silent_receiver_delays_no_report() {
    let mut fleet = Fleet::open(3);
    fleet.run_until_reporting();
    fleet.run(WINDOW - SECOND);
    fleet.receiver.set(receiver::Mode::Silent);
    fleet.run(4 * SECOND);
    fleet.receiver.set(receiver::Mode::Up);
    check_all_in_time(fleet);
}

/// Guards against a holder that cannot reach the receiver and keeps the duty.
fn holder_without_receiver_hands_over() {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.receiver.set_cut(&[holder]);
    fleet.run(4 * WINDOW);
    assert_ne!(fleet.holder(), Some(holder));
    check_all_in_time(fleet);
}

/// Guards against a holder that cannot reach the store, but is heard by all, and keeps the duty.
fn holder_without_store_is_replaced(millis: u64) {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.run(Duration::from_millis(millis));
    fleet.store.set_cut(&[holder]);
    fleet.run(4 * WINDOW);
    assert_ne!(fleet.holder(), Some(holder));
    check_all_in_time(fleet);
}

/// Guards against takeovers of a holder that is well but not heard.
fn holder_that_is_not_heard_keeps_the_duty() {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.network().is_cut = vec![true; 3];
    fleet.run(10 * WINDOW);
    assert_eq!(fleet.holder(), Some(holder));
    check_all_in_time(fleet);
}

/// Guards against a stop that leaves the duty to nobody until the lease has expired.
fn stopping_holder_hands_over_at_once() {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    // A term that has just begun is not handed over: the instance before must not act again so soon.
    fleet.run(LEASE_TIME);
    fleet.stop(holder);
    let is_taken = |fleet: &Fleet| fleet.holder().is_some_and(|other| other != holder);
    let stopped_at = fleet.clock.now();
    fleet.run_until(|fleet, _| is_taken(fleet));
    let time = fleet.clock.now().since(stopped_at);
    assert!(time < LEASE_TIME, "{time:?}");
    check_all_in_time(fleet);
}

/// Guards against a holder that goes on with an old lease after a pause.
fn paused_holder_does_not_act_again() {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.receiver.set(receiver::Mode::Silent);
    // The report of the next window is pending, and a call for it is under way.
    let calls = fleet.receiver.calls().len();
    fleet.run_until(|fleet, _| fleet.receiver.calls().len() > calls);
    fleet.set_frozen(holder, true);
    fleet.receiver.set(receiver::Mode::Up);
    fleet.run(2 * WINDOW);
    fleet.set_frozen(holder, false);
    check_all_in_time(fleet);
}

/// Guards against reports on the strength of writes that are not confirmed.
fn writes_without_response(mode: store::Mode) {
    let mut fleet = Fleet::open(3);
    fleet.run_until_reporting();
    fleet.store.set(mode);
    fleet.run(WINDOW);
    for accepted in fleet.receiver.reports() {
        let object = fleet.store.object().unwrap();
        assert!(Some(accepted.report.window) <= object.last_window());
    }
    fleet.run(WINDOW);
    fleet.store.set(store::Mode::Up);
    fleet.run(2 * WINDOW);
    check_all_in_time(fleet);
}

/// Guards against a holder that is replaced because the store is slow.
fn slow_store_delays_no_report() {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet
        .store
        .set(store::Mode::Slow(Duration::from_millis(500)));
    fleet.run(4 * WINDOW);
    assert_eq!(fleet.holder(), Some(holder));
    check_all_in_time(fleet);
}

/// Guards against windows that are lost, or reported with other counts, when the store is restored
/// while the holder lives.
fn restored_store_loses_no_window(millis: u64, age: Duration) {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.run(2 * WINDOW + Duration::from_millis(millis));
    let before = fleet.network().generations[holder];
    fleet.store.restore(age);
    fleet.run(2 * WINDOW);
    assert_eq!(fleet.holder(), Some(holder));
    assert!(fleet.network().generations[holder] > before);
    assert_eq!(fleet.network().ends.get("missing"), None);
    check_all_in_time(fleet);
}

/// Guards against reports with other counts when the store is restored and the holder lost. Windows
/// that it may have reported are left out unless their counts were heard.
fn restored_store_without_its_holder(age: Duration, is_cut: bool) {
    let mut fleet = Fleet::open(3);
    let holder = fleet.run_until_reporting();
    fleet.network().is_cut[holder] = is_cut;
    fleet.run(2 * WINDOW);
    fleet.store.restore(age);
    fleet.kill(holder);
    let accepted = fleet.receiver.accepted();
    fleet.run(4 * WINDOW);
    assert!(fleet.receiver.accepted() > accepted);
    fleet.receiver.check();
}

cases! {
    calm_times => one_holder_reports_each_window();
    calls_of_the_store => store_calls_do_not_grow_with_the_instances();
    holder_lost_after_a_report => lost_holder_is_replaced(0);
    holder_lost_between_reports => lost_holder_is_replaced(2500);
    holder_lost_before_a_report => lost_holder_is_replaced(4950);
    pending_report_of_a_lost_holder => pending_report_is_sent_unchanged();
    status_429 => refused_calls_are_spaced();
    silent_receiver => silent_receiver_delays_no_report();
    receiver_out_of_reach_of_the_holder => holder_without_receiver_hands_over();
    store_out_of_reach_of_the_holder => holder_without_store_is_replaced(1000);
    store_out_of_reach_after_a_renewal => holder_without_store_is_replaced(2600);
    lost_announcements => holder_that_is_not_heard_keeps_the_duty();
    planned_stop => stopping_holder_hands_over_at_once();
    paused_holder => paused_holder_does_not_act_again();
    lost_responses => writes_without_response(store::Mode::LosingResponses);
    late_writes => writes_without_response(store::Mode::Late(SECOND));
    refused_writes => writes_without_response(store::Mode::Busy);
    slow_store => slow_store_delays_no_report();
    restored_store => restored_store_loses_no_window(0, 4 * SECOND);
    restored_store_between_reports => restored_store_loses_no_window(2300, 7 * SECOND);
    restored_store_before_a_report => restored_store_loses_no_window(4900, 12 * SECOND);
    restored_store_without_changes => restored_store_loses_no_window(4900, Duration::ZERO);
    restored_store_and_lost_holder => restored_store_without_its_holder(7 * SECOND, false);
    restored_store_and_lost_unheard_holder => restored_store_without_its_holder(7 * SECOND, true);
}

/// Guards against orders of faults that no other test has.
#[test]
fn random_faults_break_no_rule() {
    const INSTANCES: usize = 3;
    arbtest(|u| {
        fastrand::seed(u.arbitrary()?);
        let mut fleet = Fleet::open(INSTANCES);
        fleet.run(WINDOW);
        for _ in 0..u.int_in_range(1..=12)? {
            let instance = u.choose_index(INSTANCES)?;
            match u.int_in_range(0..=9)? {
                0 => fleet.start(instance),
                1 => fleet.set_frozen(instance, true),
                2 => fleet.set_frozen(instance, false),
                3 => fleet.stop(instance),
                4 => fleet.store.set(*u.choose(&[
                    store::Mode::Up,
                    store::Mode::Busy,
                    store::Mode::LosingResponses,
                    store::Mode::Late(4 * SECOND),
                    store::Mode::Slow(SECOND),
                ])?),
                5 => fleet.receiver.set(*u.choose(&[
                    receiver::Mode::Up,
                    receiver::Mode::Busy,
                    receiver::Mode::Silent,
                    receiver::Mode::LosingResponses,
                ])?),
                6 => fleet.store.set_cut(&[instance]),
                7 => fleet.receiver.set_cut(&[instance]),
                8 => fleet.network().is_cut[instance] = u.arbitrary()?,
                _ => fleet.store.restore(u.int_in_range(0..=12)? * SECOND),
            }
            fleet.run(u.int_in_range(1..=60)? * Duration::from_millis(100));
            fleet.receiver.check();
        }
        fleet.store.set(store::Mode::Up);
        fleet.store.set_cut(&[]);
        fleet.receiver.set(receiver::Mode::Up);
        fleet.receiver.set_cut(&[]);
        for instance in 0..INSTANCES {
            fleet.start(instance);
        }
        let accepted = fleet.receiver.accepted();
        fleet.run(6 * WINDOW);
        fleet.receiver.check();
        assert!(fleet.receiver.accepted() > accepted, "nobody reports");
        Ok(())
    });
}
