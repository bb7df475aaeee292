//! Tests of the quarantine table and of exchanging suspicions between instances.

use arbtest::arbtest;
use policy::quarantine::{Fingerprint, Table, CAPACITY, EXPORT_LIMIT};

use crate::support::{at, cases};

cases! {
    crashes_at_two_instances_add_up => add_up();
    one_crash_counts_once => one_crash();
    response_clears_a_request => cleared();
    table_is_bounded => bounded();
    digest_separates_its_parts => digest();
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
