//! What an instance tells of the age of its records.

use std::thread;
use std::time::{Duration, Instant};

use balance::record::{Kind, Record};
use serde::Serialize;

use crate::cases;
use crate::datagrams::Fixture;
use crate::messages::{Confirmation, Message};
use crate::site::{bound, config, server, status, Options, Site};
use crate::tenants::Log;

/// What an instance's clock and the exchange of metrics may add.
const TOLERANCE: Duration = Duration::from_millis(100);

/// The kinds with their labels.
const KINDS: [(Kind, &str); 4] = [
    (Kind::Config, "config"),
    (Kind::Servers, "servers"),
    (Kind::Orders, "orders"),
    (Kind::Evacuations, "evacuations"),
];

fn age(site: &Site, kind: &str) -> Option<Duration> {
    let seconds = site.metric(&format!("records_age_seconds{{kind=\"{kind}\"}}"));
    seconds.map(Duration::from_secs_f64)
}

fn config_age(site: &Site) -> Duration {
    age(site, "config").unwrap()
}

/// Makes all calls of the store by these instances silent. Returns when none of them can end any more.
fn silence(sites: &[Site]) {
    for site in sites {
        site.store.set_silent(true);
    }
    thread::sleep(Duration::from_millis(500));
}

/// Checks that no records get younger while the store is silent, at instances in these data centres.
fn silent_store(centres: &[&str]) {
    const TIME: Duration = Duration::from_millis(2500);
    let sites = Site::open_fleet(&[], centres);
    silence(&sites);
    let ages = || -> Vec<Duration> {
        let ages = sites
            .iter()
            .flat_map(|site| KINDS.map(|(_, kind)| age(site, kind).unwrap()));
        ages.collect()
    };
    let (before, began_at) = (ages(), Instant::now());
    thread::sleep(TIME);
    let (passed, after) = (began_at.elapsed(), ages());
    for (before, after) in before.into_iter().zip(after) {
        let added = after.saturating_sub(before);
        assert!(added + TOLERANCE >= passed, "{before:?}, then {after:?}");
    }
}

/// Checks that the second instance, which cannot reach the store, knows that its records are current
/// while the first one reads changes.
fn supplied_instance(centres: [&str; 2]) {
    const CHANGES: u32 = 30;
    const PAUSE: Duration = Duration::from_millis(100);
    const MAX_AGE: Duration = Duration::from_millis(1500);
    let sites = Site::open_fleet(&[], &centres);
    sites[1].store.set_silent(true);
    for version in 5..5 + CHANGES {
        sites[0]
            .store
            .put(Kind::Config, "main", Some(config(version)));
        thread::sleep(PAUSE);
        if version > 5 + CHANGES / 2 {
            let ages = [&sites[0], &sites[1]].map(config_age);
            assert!(ages.iter().all(|age| *age < MAX_AGE), "{ages:?}");
        }
    }
}

/// Checks that no record gets older than its changes may be late, while nothing changes.
fn idle_store(centres: &[&str]) {
    const TIME: Duration = Duration::from_secs(9);
    let sites = Site::open_fleet(&[], centres);
    let began_at = Instant::now();
    while began_at.elapsed() < TIME {
        for site in &sites {
            for (kind, name) in KINDS {
                let age = age(site, name).unwrap();
                assert!(age < bound(kind), "{name}: {age:?}");
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Checks that the age at the second instance is at least that at the first one, from which it has its
/// records, while nothing changes.
fn age_on_the_way(centres: [&str; 2]) {
    let sites = Site::open_fleet(&[], &centres);
    silence(&sites);
    for _ in 0..20 {
        let [first, second] = [&sites[0], &sites[1]].map(config_age);
        assert!(second + TOLERANCE >= first, "{first:?}, {second:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Checks the age of the configuration after a reader has told that its `revision` is of this age. The
/// records of the instance are older than a second, and have a revision between 1 and 1000.
fn told_age(revision: u64, told: Option<Duration>, expected: std::ops::Range<Duration>) {
    const OLD: Duration = Duration::from_secs(1);
    let fixture = Fixture::open();
    silence(std::slice::from_ref(&fixture.site));
    fixture.site.wait_until(|site| config_age(site) > OLD);
    fixture.send(&Message::Confirmed(Confirmation {
        from: 1,
        revisions: [revision; 4],
        ages: [told; 4],
    }));
    thread::sleep(Duration::from_millis(100));
    let age = config_age(&fixture.site);
    assert!(expected.contains(&age), "{age:?}");
    fixture.check();
}

/// Guards against records that pass for current because a datagram waited while the process was
/// suspended.
#[test]
fn suspension_counts_as_age() {
    const SUSPENSION: Duration = Duration::from_secs(5);
    let fixture = Fixture::open();
    let site = &fixture.site;
    silence(std::slice::from_ref(site));
    let confirm = || {
        fixture.send(&Message::Confirmed(Confirmation {
            from: 1,
            revisions: [1; 4],
            ages: [Some(Duration::ZERO); 4],
        }));
        thread::sleep(Duration::from_millis(50));
        config_age(site)
    };
    // The instance may notice the suspension before the datagram arrives.
    site.wait_until(|site| {
        assert!(confirm() < SUSPENSION);
        site.clock.advance(SUSPENSION);
        confirm() >= SUSPENSION
    });
}

/// Mirrors messages of a later build.
#[derive(Serialize)]
enum Later {
    Unit,
    Value(u64),
    Fields { from: u64, revisions: [u64; 4] },
}

#[test]
fn message_of_a_later_build_is_ignored() {
    let fixture = Fixture::open();
    let revisions = [1000; 4];
    for from in 1..20 {
        fixture.send(&Later::Unit);
        fixture.send(&Later::Value(from));
        fixture.send(&Later::Fields { from, revisions });
    }
    fixture.check();
}

#[test]
fn metrics_tell_the_records_in_force() {
    let site = Site::open(&[]);
    site.wait_until(|site| KINDS.iter().all(|(_, kind)| age(site, kind).is_some()));
    let revision = |kind: &str| {
        let series = format!("records_revision{{kind=\"{kind}\"}}");
        site.metric(&series).unwrap()
    };
    assert!(KINDS.iter().all(|(_, kind)| revision(kind) >= 1.0));
    assert_eq!(site.metric("config_version"), Some(4.0));
    let before = revision("config");
    site.store.put(Kind::Config, "main", Some(config(5)));
    site.wait_until(|site| site.metric("config_version") == Some(5.0));
    assert!(revision("config") > before);
    assert!(config_age(&site) < Duration::from_secs(2));
}

#[test]
fn metrics_tell_how_calls_of_the_store_ended() {
    let calls = |site: &Site, call: &str, outcome: &str| {
        let series = format!("store_calls_total{{call=\"{call}\",outcome=\"{outcome}\"}}");
        site.metric(&series).unwrap_or_default()
    };
    let site = Site::open(&[]);
    site.wait_until(|site| calls(site, "check", "ok") > 0.0);
    assert!(calls(&site, "list", "ok") >= 4.0);
    site.wait_until(|site| site.store.is_watched(Kind::Config));
    site.store.silence_watches(Kind::Config);
    site.store.put(Kind::Config, "main", Some(config(5)));
    site.wait_until(|site| {
        let series = "watches_abandoned_total{kind=\"config\",reason=\"another call of \
                      the store shows changes\"}";
        site.metric(series) == Some(1.0)
    });
    site.wait_until(|site| calls(site, "watch", "ok") > 0.0);
    site.store.set_silent(true);
    site.wait_until(|site| calls(site, "check", "timed out") > 0.0);
}

/// Guards against an age that leaves out the time in which a response arrives.
#[test]
fn age_counts_from_the_start_of_a_call() {
    const TRANSFER_TIME: Duration = Duration::from_secs(2);
    let site = Site::open(&[]);
    site.wait_until(|site| site.store.is_watched(Kind::Config));
    site.store.set_transfer_time(TRANSFER_TIME);
    site.store.put(Kind::Config, "main", Some(config(5)));
    site.wait_until(|site| site.metric("config_version") == Some(5.0));
    let age = config_age(&site);
    assert!(age >= TRANSFER_TIME, "{age:?}");
}

/// Returns whether the log has a line with all of `parts`.
fn is_logged(log: &Log, parts: &[&str]) -> bool {
    let text = log.text();
    let mut lines = text.lines();
    lines.any(|line| parts.iter().all(|part| line.contains(part)))
}

#[test]
fn log_tells_when_records_are_old_and_fresh_again() {
    const OLD: &str = "\"freshness: records are old\"";
    const FRESH: &str = "\"freshness: records are fresh again\"";
    let log = Log::default();
    let options = Options {
        log: log.logger(),
        ..Options::default()
    };
    let site = Site::open_with(&[], options);
    site.store.set_silent(true);
    for (_, kind) in KINDS {
        let kind = format!("\"kind\":\"{kind}\"");
        let parts = [OLD, &kind, "\"age millis\":", "\"reads store\":true"];
        site.wait_until(|_| is_logged(&log, &parts));
    }
    site.store.set_silent(false);
    let address = site.callers;
    for (kind, name, record) in [
        (Kind::Config, "main", config(5)),
        (Kind::Servers, "s9", server("s9", address)),
        (Kind::Evacuations, "west", Record::Evacuation),
    ] {
        site.store.put(kind, name, Some(record));
        let kind = KINDS[kind.index()].1;
        let kind = format!("\"kind\":\"{kind}\"");
        site.wait_until(|_| is_logged(&log, &[FRESH, &kind, "\"oldest millis\":"]));
    }
}

#[test]
fn log_tells_the_age_at_a_change_and_at_a_refusal() {
    let log = Log::default();
    let options = Options {
        log: log.logger(),
        ..Options::default()
    };
    let site = Site::open_with(&[], options);
    site.wait_until(|site| age(site, "config").is_some());
    let since = "\"millis since confirmed\":";
    site.store.put(Kind::Config, "main", Some(config(5)));
    let applied = "\"view: configuration applied\"";
    site.wait_until(|_| is_logged(&log, &[applied, "\"version\":5", since]));
    assert!(is_logged(&log, &["\"view: records changed\"", since]));
    assert_eq!(status(&site.call("GET", "/unknown/1", "")), 404);
    let refused = "\"forward: request refused\"";
    let age = "\"config age millis\":";
    assert!(is_logged(&log, &[refused, "\"config\":5", age]));
    assert!(!is_logged(&log, &[refused, "\"config age millis\":null"]));
}

cases! {
    records_age_while_the_store_is_silent => silent_store(&["east"]);
    records_age_in_the_data_centre_while_the_store_is_silent => silent_store(&["east", "east"]);
    records_age_in_other_data_centres_while_the_store_is_silent =>
        silent_store(&["east", "west", "west"]);
    records_are_confirmed_in_time_while_nothing_changes => idle_store(&["east", "east", "west"]);
    records_are_current_at_an_instance_that_does_not_read => supplied_instance(["east", "east"]);
    records_are_current_in_a_data_centre_that_does_not_read => supplied_instance(["east", "west"]);
    age_does_not_shrink_on_the_way_to_an_instance => age_on_the_way(["east", "east"]);
    age_does_not_shrink_on_the_way_to_a_data_centre => age_on_the_way(["east", "west"]);
    known_revision_is_confirmed_by_its_reader => {
        let age = Duration::from_millis(300);
        told_age(1, Some(age), age..Duration::from_secs(1));
    };
    newer_revision_is_not_confirmed => {
        told_age(1000, Some(Duration::ZERO), Duration::from_secs(1)..Duration::MAX);
    };
    older_confirmation_is_ignored => {
        told_age(1, Some(Duration::from_secs(60)), Duration::from_secs(1)..Duration::from_secs(30));
    };
    longest_age_is_ignored => {
        told_age(1, Some(Duration::MAX), Duration::from_secs(1)..Duration::from_secs(30));
    };
    unknown_age_is_ignored => {
        told_age(1, None, Duration::from_secs(1)..Duration::from_secs(30));
    };
}
