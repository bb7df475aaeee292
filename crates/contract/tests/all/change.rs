//! The changes between two bundles, and their dangers.

use contract::change::Change;
use contract::Bundle;
use jiff::Timestamp;

use crate::cases;
use crate::fixture::bundle;

/// A time long before the deadline of the rollout in the fixture, in seconds since 1970-01-01 UTC.
const NOW_SECS: i64 = 1_700_000_000;

/// Applies `change` to the fixture and checks the resulting sentences and dangers.
fn check_change(change: impl Fn(&mut Bundle), sentences: &[&str], dangers: &[&str]) {
    let old = bundle();
    let mut new = old.clone();
    change(&mut new);
    let difference = Change::between(Some(&old), &new);
    let steps: Vec<String> = difference.steps().iter().map(|s| s.to_string()).collect();
    assert_eq!(steps, sentences);
    let now = Timestamp::from_second(NOW_SECS).unwrap();
    let found: Vec<&str> = difference.dangers(now).iter().map(|d| d.code()).collect();
    assert_eq!(found, dangers);
}

cases! {
    version_only: check_change(|b| b.version = 8, &[], &[]);
    order_only: check_change(|b| b.services.reverse(), &[], &[]);
    centre_out: check_change(
        |b| b.centres[0].in_service = false,
        &["data centre east is taken out of service: it gets no new work"],
        &[],
    );
    all_centres_out: check_change(
        |b| b.centres.iter_mut().for_each(|c| c.in_service = false),
        &[
            "data centre east is taken out of service: it gets no new work",
            "data centre west is taken out of service: it gets no new work",
        ],
        &["all-centres-out", "centres-out"],
    );
    centre_removed: check_change(
        |b| drop(b.centres.pop()),
        &["data centre west is removed; it was in service"],
        &[],
    );
    service_removed: check_change(
        |b| drop(b.services.pop()),
        &["service clayworks is removed: its calls will be refused"],
        &["service-removed"],
    );
    slots: check_change(
        |b| b.services[1].slots = 8,
        &["service clayworks: slots from 4 to 8"],
        &[],
    );
    route: check_change(
        |b| b.services[1].routes[0].can_wait = false,
        &["service clayworks: route order changes \
            from \"all methods /, runs at most once, can wait, at most 10000 ms\" \
            to \"all methods /, runs at most once, cannot wait, at most 10000 ms\""],
        &[],
    );
    share: check_change(
        |b| b.services[0].rollout.as_mut().unwrap().first_share = 0.5,
        &["service gauge: traffic moves from v1 to v2, from a share of 50.00 %, \
            by 2027-01-15T08:00:00Z"],
        &["first-share-too-large"],
    );
    deadline: check_change(
        |b| b.services[0].rollout.as_mut().unwrap().deadline = NOW_SECS as u64,
        &["service gauge: traffic moves from v1 to v2, from a share of 2.00 %, \
            by 2023-11-14T22:13:20Z"],
        &["deadline-passed"],
    );
    idempotent_may_repeat: check_change(
        |b| b.services[1].routes[0].idempotent = Some(true),
        &["service clayworks: route order changes \
            from \"all methods /, runs at most once, can wait, at most 10000 ms\" \
            to \"all methods /, idempotent, can wait, at most 10000 ms\""],
        &["may-repeat"],
    );
    idempotent_by_method_may_repeat: check_change(
        |b| b.services[1].routes[0].idempotent = None,
        &["service clayworks: route order changes \
            from \"all methods /, runs at most once, can wait, at most 10000 ms\" \
            to \"all methods /, idempotent by method, can wait, at most 10000 ms\""],
        &["may-repeat"],
    );
    write_matched_by_read: check_change(
        |b| {
            b.services[0].routes[0].methods.push("POST".into());
            b.services[0].routes[0].idempotent = Some(true);
            b.services[0].routes.pop();
        },
        &[
            "service gauge: route read changes \
            from \"GET, HEAD /levels, idempotent by method, cannot wait, at most 500 ms\" \
            to \"GET, HEAD, POST /levels, idempotent, cannot wait, at most 500 ms\"",
            "service gauge: route write is removed",
        ],
        &["may-repeat"],
    );
    write_removed: check_change(
        |b| drop(b.services[0].routes.pop()),
        &["service gauge: route write is removed"],
        &[],
    );
    untried_version: check_change(
        |b| b.services[1].versions[0].name = "v9".into(),
        &[
            "service clayworks: versions from v1 to v9",
            "service clayworks: all traffic goes from v1 to v9 at once",
        ],
        &["untried"],
    );
    rollout_completed: check_change(
        |b| {
            b.services[0].versions.reverse();
            b.services[0].rollout = None;
        },
        &[
            "service gauge: versions from v1, v2 to v2, v1",
            "service gauge: all traffic goes from v1 to v2 at once",
            "service gauge: the move from v1 to v2 is no longer stated",
        ],
        &[],
    );
    rollout_from_second_version: check_change(
        |b| {
            let rollout = b.services[0].rollout.as_mut().unwrap();
            (rollout.from, rollout.to) = ("v2".into(), "v1".into());
        },
        &[
            "service gauge: all traffic goes from v1 to v2 at once",
            "service gauge: traffic moves from v2 to v1, from a share of 2.00 %, \
            by 2027-01-15T08:00:00Z",
        ],
        &[],
    );
    rollout_removed: check_change(
        |b| b.services[0].rollout = None,
        &["service gauge: the move from v1 to v2 is no longer stated"],
        &[],
    );
}

#[test]
fn first_bundle_adds_everything() {
    let new = bundle();
    let change = Change::between(None, &new);
    assert_eq!(change.steps().len(), 4);
}
