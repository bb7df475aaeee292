//! Rollouts from one version to another, carried out by running instances.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use contract::report::{self, State};
use contract::{id, Bundle, Rollout, Version};
use stand_in::backend::{self, Fault, Rule};
use stand_in::platform::Outage;

use crate::cluster::{bundle, eventually, eventually_within, Cluster, Instance, CENTRES};
use crate::traffic::Traffic;

const CALLERS: usize = 16;

/// The pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(5);

/// The time from the start of a rollout to its deadline. A rollout takes six steps of at least two
/// seconds each to reach the full share.
const ROLLOUT_TIME: Duration = Duration::from_secs(30);

/// The greatest share of calls that a version which fails from the start may get.
const MAX_FAILING_SHARE: f64 = 0.10;

fn start_cluster() -> (Cluster, Vec<Instance>, Traffic) {
    let mut cluster = Cluster::open(2, &backend::Config::default());
    let v2 = backend::Config {
        version: "v2".to_owned(),
        ..backend::Config::default()
    };
    cluster.add_version(2, &v2);
    cluster.publish_bundle(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| cluster.start(centre)).collect();
    instances
        .iter()
        .for_each(|instance| cluster.wait_until_serving(instance));
    let addresses: Vec<_> = instances
        .iter()
        .map(|instance| instance.caller_address)
        .collect();
    let callers = Traffic::start(&addresses, CALLERS, PAUSE);
    (cluster, instances, callers)
}

fn bundle_with_rollout() -> Bundle {
    const FIRST_SHARE: f64 = 0.05;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    let mut bundle = bundle();
    let version = |name: &str| Version {
        name: id::Version::from(name),
    };
    let service = &mut bundle.services[0];
    service.versions = vec![version("v1"), version("v2")];
    service.rollout = Some(Rollout {
        from: id::Version::from("v1"),
        to: id::Version::from("v2"),
        first_share: FIRST_SHARE,
        deadline: (now + ROLLOUT_TIME).as_secs(),
    });
    bundle
}

fn rollout_report(instance: &Instance) -> Option<report::Rollout> {
    instance.moves().into_iter().next()
}

fn requests(cluster: &Cluster, version: &str) -> u64 {
    let targets = cluster.targets_of(version).into_iter();
    targets.map(|target| target.backend.counts().requests).sum()
}

/// Waits until all instances report the same final state of the rollout, and returns that state.
fn wait_for_end(instances: &[Instance]) -> State {
    let ended = |instance: &Instance| {
        rollout_report(instance)
            .map(|m| m.state)
            .filter(|s| matches!(s, State::Done | State::RolledBack))
    };
    let mut end = None;
    eventually_within(
        ROLLOUT_TIME + Duration::from_secs(5),
        "the end of the rollout",
        || {
            let states: Vec<_> = instances.iter().map(ended).collect();
            end = states[0];
            states.iter().all(|state| state.is_some() && *state == end)
        },
    );
    end.expect("a final state")
}

#[test]
fn good_version_is_moved_to_by_the_deadline() {
    let (mut cluster, instances, callers) = start_cluster();
    cluster.publish_bundle(bundle_with_rollout());
    assert_eq!(
        wait_for_end(&instances),
        State::Done,
        "{:?}",
        rollout_report(&instances[0])
    );
    let before = (requests(&cluster, "v1"), requests(&cluster, "v2"));
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        requests(&cluster, "v1"),
        before.0,
        "the old version still receives calls"
    );
    assert!(requests(&cluster, "v2") > before.1);
    callers.stop().assert_invariants(&cluster);
}

#[test]
fn failing_version_gets_a_small_share_and_is_taken_back() {
    let (mut cluster, instances, callers) = start_cluster();
    let half_fail = Rule {
        path_prefix: "/levels".to_owned(),
        share: 0.5,
        fault: Fault::Error,
    };
    for target in cluster.targets_of("v2") {
        target.backend.set_rules(vec![half_fail.clone()]);
    }
    let before = requests(&cluster, "v1");
    cluster.publish_bundle(bundle_with_rollout());
    assert_eq!(wait_for_end(&instances), State::RolledBack);
    let (old, new) = (requests(&cluster, "v1") - before, requests(&cluster, "v2"));
    let share = new as f64 / (old + new) as f64;
    println!("the failing version received {new} of {} calls", old + new);
    assert!(
        share <= MAX_FAILING_SHARE,
        "the failing version received {share} of the calls"
    );
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        requests(&cluster, "v2"),
        new,
        "a version that was rolled back receives calls"
    );
    callers.stop().assert_invariants(&cluster);
}

#[test]
fn move_that_ends_in_an_outage_is_written_later_as_it_ended() {
    let (mut cluster, instances, callers) = start_cluster();
    cluster.publish_bundle(bundle_with_rollout());
    eventually("a rollout in progress", || {
        instances
            .iter()
            .all(|instance| rollout_report(instance).is_some_and(|m| m.share > 0.0))
    });
    cluster
        .platform
        .set_outage(Some(Outage::Unavailable))
        .expect("outage");
    let end = wait_for_end(&instances);
    let stored = |cluster: &Cluster| {
        let paths = cluster.platform.objects().list("moves/");
        paths
            .first()
            .and_then(|path| cluster.platform.objects().read(path))
    };
    cluster.platform.set_outage(None).expect("outage");
    eventually("the final state in the store", || {
        let object = stored(&cluster);
        object.is_some_and(|object| {
            let progress: rollout::progress::Progress =
                rmp_serde::from_slice(&object.value).expect("progress");
            progress.state.is_ended()
        })
    });
    assert_eq!(wait_for_end(&instances), end);
    callers.stop().assert_invariants(&cluster);
}
