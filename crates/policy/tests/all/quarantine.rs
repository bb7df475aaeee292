//! Tests of the quarantine table and of exchanging suspicions between instances.

use std::time::Duration;

use arbtest::arbtest;
use contract::id;
use policy::quarantine::{Detector, Fingerprint, Loss, Table, CAPACITY, EXPORT_LIMIT};

use crate::support::{at, cases};

cases! {
    crashes_at_two_instances_add_up => add_up();
    one_crash_counts_once => one_crash();
    response_clears_a_request => cleared();
    table_is_bounded => bounded();
    digest_separates_its_parts => digest();
    failed_probe_after_a_loss_tells_a_crash => probe(1000, 1200, &[F]);
    failed_probe_sent_before_a_loss_tells_nothing => probe(1000, 999, &[]);
    failed_probe_long_after_a_loss_tells_nothing => probe(1000, 3000, &[]);
    answered_probe_clears_only_earlier_losses => answered();
    block_lasts_as_long_as_its_crashes_count => block();
    crashes_one_after_the_other_block => separate([1000, 1100], [1100, 1200], true);
    crashes_in_reverse_order_block => separate([2000, 2100], [1000, 1100], true);
    crashes_at_the_same_time_count_once => separate([1000, 1100], [1050, 1150], false);
    crash_within_the_uncertainty_of_another_counts_once => separate([1000, 3000], [2000, 2100], false);
    servers_lost_together_never_block => together_or_not();
    probe_after_a_silent_loss_tells_a_crash => silence();
    completed_request_is_on_probation => probation();
    request_completed_long_ago_is_refused_for_long => completed_long_ago();
    completion_outlives_older_suspicions => completion_refutes();
    only_requests_that_have_completed_are_tried_again => judged();
}

const F: Fingerprint = Fingerprint(1);

/// Crashes seen by two instances add up, and the request is blocked for a minute.
fn add_up() {
    let (mut a, mut b) = (Table::new(), Table::new());
    a.record_crash(F, &"s1".into(), at(0));
    b.record_crash(F, &"s2".into(), at(10_000));
    assert!(a.is_suspected(F, at(10_000)) && !a.is_blocked(F, at(10_000)));
    a.merge(&b.export(at(10_500)), at(10_500));
    assert!(a.is_blocked(F, at(10_500)));
    assert!(a.is_blocked(F, at(69_999)));
    assert!(!a.is_blocked(F, at(70_000)));
}

/// Several attempts that fail with the same crash count once, as do repeated exports of it.
fn one_crash() {
    let mut table = Table::new();
    table.record_crash(F, &"s1".into(), at(1000));
    table.record_crash(F, &"s1".into(), at(1001));
    for time in [2000, 3000, 4000] {
        let export = table.export(at(time));
        table.merge(&export, at(time + 100));
    }
    assert!(!table.is_blocked(F, at(5000)));
    table.record_crash(F, &"s1".into(), at(6001));
    assert!(table.is_blocked(F, at(6001)));
}

/// A complete response to a request clears its earlier crashes.
fn cleared() {
    let mut table = Table::new();
    table.record_crash(F, &"s1".into(), at(0));
    table.record_response(F);
    table.record_crash(F, &"s2".into(), at(1));
    assert!(!table.is_blocked(F, at(1)));
    assert_eq!(table.len(), 1);
}

/// The table and its exports stay within their limits, whatever is recorded and merged in any order
/// of time.
fn bounded() {
    arbtest(|u| {
        let mut table = Table::new();
        for n in 0..CAPACITY as u64 {
            table.record_crash(Fingerprint(n), &"s".into(), at(0));
        }
        while !u.is_empty() {
            let fingerprint = Fingerprint(u.int_in_range(0..=3000)?);
            let now = at(u.int_in_range(0..=30_000)?);
            match u.int_in_range(0..=9)? {
                0 => table.record_response(fingerprint),
                1 => {
                    let export = table.export(now);
                    assert!(export.len() <= EXPORT_LIMIT);
                    assert!(export.iter().all(|s| s.crashes.len() <= 2));
                    let later = at(u.int_in_range(0..=90_000)?);
                    table.merge(&export, later);
                }
                _ => table.record_crash(fingerprint, &"s".into(), now),
            }
            assert!(table.len() <= CAPACITY);
        }
        Ok(())
    })
    .size_min(1 << 14)
    .budget_ms(500);
}

/// Returns a response that was lost when its connection broke.
fn loss(request: Fingerprint, lost_at: u64) -> Loss {
    Loss {
        request,
        alive_at: at(lost_at),
        sent_at: at(lost_at),
        broke_at: Some(at(lost_at)),
    }
}

fn requests(losses: &[Loss]) -> Vec<Fingerprint> {
    losses.iter().map(|loss| loss.request).collect()
}

/// Two servers crash while they run one request, each within an interval in milliseconds. The
/// request is blocked if the second server ran on after the first had crashed, also by an instance
/// that learns of the crashes.
///
/// Guards against a request that is refused because servers were lost together.
fn separate(first: [u64; 2], second: [u64; 2], blocked: bool) {
    let mut table = Table::new();
    for (server, [alive_at, crashed_at]) in [("s1", first), ("s2", second)] {
        table.record_crash_between(F, &server.into(), at(alive_at), at(crashed_at));
    }
    assert_eq!(table.is_blocked(F, at(5000)), blocked);
    let mut other = Table::new();
    other.merge(&table.export(at(5000)), at(5000));
    assert_eq!(other.is_blocked(F, at(5000)), blocked);
}

/// A request is never blocked for servers that are lost at the same moment, however many they are and
/// however late each loss is noticed, and always for two that are lost one after the other.
fn together_or_not() {
    arbtest(|u| {
        let lost_at = u.int_in_range(10_000..=20_000_u64)?;
        let mut table = Table::new();
        for number in 0..u.int_in_range(1..=8)? {
            let alive_at = lost_at - u.int_in_range(1..=5000)?;
            let noticed_at = lost_at + u.int_in_range(0..=5000)?;
            let server = id::Server::from(format!("s{number}").as_str());
            table.record_crash_between(F, &server, at(alive_at), at(noticed_at));
        }
        assert!(!table.is_blocked(F, at(25_000)));
        let alive_at = 25_000 + u.int_in_range(0..=1000)?;
        let noticed_at = alive_at + u.int_in_range(0..=1000)?;
        table.record_crash_between(F, &"later".into(), at(alive_at), at(noticed_at));
        assert!(table.is_blocked(F, at(27_000)));
        Ok(())
    });
}

/// A silent server is known to have crashed once a probe fails that was sent after the request.
fn silence() {
    let mut detector = Detector::new();
    let server = "s1".into();
    let silent = Loss {
        request: F,
        alive_at: at(900),
        sent_at: at(1000),
        broke_at: None,
    };
    detector.record_loss(&server, silent, at(4000));
    assert!(detector.is_unexplained(F, at(4100)));
    assert_eq!(detector.record_failed_probe(&server, at(999), at(4200)), []);
    assert_eq!(
        detector.record_failed_probe(&server, at(4000), at(4500)),
        [silent]
    );
    assert_eq!(silent.crashed_by(at(4000)), at(4000));
    assert!(!detector.is_unexplained(F, at(4500)));
}

fn digest() {
    let one = Fingerprint::digest(&[b"GET", b"/a"]);
    assert_eq!(one, Fingerprint::digest(&[b"GET", b"/a"]));
    assert_ne!(one, Fingerprint::digest(&[b"GET/", b"a"]));
}

/// A probe fails that was sent at `sent_at`, after the response to [`F`] was lost at `lost_at`, both
/// in milliseconds.
fn probe(lost_at: u64, sent_at: u64, expected: &[Fingerprint]) {
    let mut detector = Detector::new();
    detector.record_loss(&"s1".into(), loss(F, lost_at), at(lost_at));
    detector.record_loss(&"s2".into(), loss(Fingerprint(2), lost_at), at(lost_at));
    let losses = detector.record_failed_probe(&"s1".into(), at(sent_at), at(sent_at));
    assert_eq!(requests(&losses), expected);
}

/// Guards against lost responses of a server that runs on being counted as its crash.
fn answered() {
    let mut detector = Detector::new();
    let server = "s1".into();
    detector.record_loss(&server, loss(F, 1000), at(1000));
    detector.record_loss(&server, loss(Fingerprint(2), 1100), at(1100));
    detector.record_answered_probe(&server, at(1050));
    assert!(detector.is_awaiting_probe(&server));
    let losses = detector.record_failed_probe(&server, at(1200), at(1200));
    assert_eq!(requests(&losses), [Fingerprint(2)]);
    assert!(!detector.is_awaiting_probe(&server));
}

fn block() {
    let mut table = Table::with_retention(Duration::from_secs(600));
    table.record_crash(F, &"s1".into(), at(0));
    assert_eq!(table.block_left(F, at(0)), None);
    table.record_crash(F, &"s2".into(), at(1000));
    let left = table.block_left(F, at(2000));
    assert_eq!(left, Some(Duration::from_secs(599)));
    assert_eq!(table.block_left(F, at(601_000)), None);
}

/// Records crashes of one server after the other at these times in milliseconds, each within a
/// millisecond.
fn record_crashes(table: &mut Table, request: Fingerprint, times: &[u64]) {
    for time in times {
        let server = id::Server::from(format!("s{time}").as_str());
        table.record_crash_between(request, &server, at(*time), at(*time + 1));
    }
}

/// Guards against a popular request that is refused for ten minutes although servers complete it.
fn probation() {
    let mut table = Table::with_retention(Duration::from_secs(600));
    table.record_completion(F, at(0));
    record_crashes(&mut table, F, &[1000, 1100]);
    let block_left = |table: &Table, time| table.block_left(F, at(time));
    assert_eq!(block_left(&table, 1101), Some(Duration::from_millis(500)));
    assert!(table.is_blocked(F, at(1600)) && !table.is_on_trial(F, at(1600)));
    // A crash under a copy that was sent before makes it no longer, but begin anew.
    record_crashes(&mut table, F, &[1200]);
    assert_eq!(block_left(&table, 1201), Some(Duration::from_millis(500)));
    assert!(!table.is_blocked(F, at(1701)) && table.is_on_trial(F, at(1701)));
    // Each crash of a trial makes the next probation ten times as long.
    record_crashes(&mut table, F, &[2000]);
    assert_eq!(block_left(&table, 2001), Some(Duration::from_secs(5)));
    record_crashes(&mut table, F, &[9000]);
    assert_eq!(block_left(&table, 9001), Some(Duration::from_secs(50)));
    table.record_completion(F, at(60_000));
    assert!(!table.is_suspected(F, at(60_000)));
    let staggered = Table::with_retention(Duration::from_secs(600)).with_stagger(1.5);
    let mut staggered = staggered;
    staggered.record_completion(F, at(0));
    record_crashes(&mut staggered, F, &[1000, 1100]);
    assert_eq!(
        block_left(&staggered, 1101),
        Some(Duration::from_millis(750))
    );
}

fn completed_long_ago() {
    let mut table = Table::with_retention(Duration::from_secs(600));
    table.record_completion(F, at(0));
    record_crashes(&mut table, F, &[60_000, 61_000]);
    assert_eq!(
        table.block_left(F, at(61_001)),
        Some(Duration::from_secs(600))
    );
}

/// Guards against gossip of crashes that brings a suspicion back after a server has completed the
/// request.
fn completion_refutes() {
    let (mut a, mut b) = (Table::new(), Table::new());
    record_crashes(&mut a, F, &[1000, 1100]);
    let export = a.export(at(2000));
    b.record_completion(F, at(1500));
    assert!(b.refutes(&export[0], at(2000)) && !a.refutes(&export[0], at(2000)));
    b.merge(&export, at(2000));
    assert!(!b.is_suspected(F, at(2000)));
    record_crashes(&mut b, F, &[2100]);
    assert!(b.is_suspected(F, at(2101)));
}

/// Compares the table with a judge that keeps all that happened: a request that has never completed
/// is refused from its second crash on, and one that has is never refused for longer than its
/// probation.
fn judged() {
    arbtest(|u| {
        let mut table = Table::with_retention(Duration::from_secs(600));
        let mut crashes = [Vec::new(), Vec::new()];
        let mut probation = 500_u64;
        let (popular, unproven) = (Fingerprint(0), Fingerprint(1));
        let mut now = 1000;
        table.record_completion(popular, at(now));
        while !u.is_empty() && now < 50_000 {
            now += u.int_in_range(2..=1000)?;
            let before = crashes[0].last().copied();
            match u.int_in_range(0..=3)? {
                0 => {
                    table.record_completion(popular, at(now));
                    crashes[0].clear();
                    probation = 500;
                }
                1 => {
                    let both = [popular, unproven];
                    for request in both {
                        record_crashes(&mut table, request, &[now]);
                    }
                    crashes.iter_mut().for_each(|all| all.push(now + 1));
                }
                _ => {
                    let number = usize::from(u.arbitrary::<bool>()?);
                    record_crashes(&mut table, Fingerprint(number as u64), &[now]);
                    crashes[number].push(now + 1);
                }
            }
            now += 1;
            let is_refused = crashes[1].len() >= 2;
            assert_eq!(table.is_blocked(unproven, at(now)), is_refused);
            let is_trial = before.is_some_and(|before| before + probation < now);
            if is_trial && crashes[0].len() > 2 && crashes[0].last() == Some(&now) {
                probation = probation.saturating_mul(10);
            }
            let is_refused = crashes[0].len() >= 2
                && crashes[0]
                    .last()
                    .is_some_and(|crash| now - crash < probation);
            assert_eq!(table.is_blocked(popular, at(now)), is_refused);
        }
        Ok(())
    });
}
