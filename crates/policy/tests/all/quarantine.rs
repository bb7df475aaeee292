//! Tests of the quarantine table and of exchanging suspicions between instances.

use std::time::Duration;

use arbtest::arbtest;
use policy::quarantine::{Detector, Fingerprint, Table, CAPACITY, EXPORT_LIMIT};

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

fn digest() {
    let one = Fingerprint::digest(&[b"GET", b"/a"]);
    assert_eq!(one, Fingerprint::digest(&[b"GET", b"/a"]));
    assert_ne!(one, Fingerprint::digest(&[b"GET/", b"a"]));
}

/// A probe fails that was sent at `sent_at`, after the response to [`F`] was lost at `lost_at`, both
/// in milliseconds.
fn probe(lost_at: u64, sent_at: u64, expected: &[Fingerprint]) {
    let mut detector = Detector::new();
    detector.record_loss(F, &"s1".into(), at(lost_at));
    detector.record_loss(Fingerprint(2), &"s2".into(), at(lost_at));
    let suspects = detector.record_failed_probe(&"s1".into(), at(sent_at), at(sent_at));
    assert_eq!(suspects, expected);
}

/// Guards against lost responses of a server that runs on being counted as its crash.
fn answered() {
    let mut detector = Detector::new();
    let server = "s1".into();
    detector.record_loss(F, &server, at(1000));
    detector.record_loss(Fingerprint(2), &server, at(1100));
    detector.record_answered_probe(&server, at(1050));
    assert!(detector.is_awaiting_probe(&server));
    let suspects = detector.record_failed_probe(&server, at(1200), at(1200));
    assert_eq!(suspects, [Fingerprint(2)]);
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
