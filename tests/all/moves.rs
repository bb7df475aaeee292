//! Moves between versions, carried out by whole instances.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use contract::report::{Move, State};
use contract::{id, Bundle, Shift, Version};
use stand_in::backend::{self, Fault, Rule};
use stand_in::platform::Outage;

use crate::site::{bundle, eventually, within, Instance, Site, CENTRES};
use crate::traffic::Traffic;

const CALLERS: usize = 16;
const PAUSE: Duration = Duration::from_millis(5);

/// The time that a move has. Six steps of at least two seconds lead to the whole share.
const MOVE_TIME: Duration = Duration::from_secs(30);

/// The share of calls that a version which is bad from the start may get.
const SMALL_SHARE: f64 = 0.10;

fn open() -> (Site, Vec<Instance>, Traffic) {
    let mut site = Site::open(2, &backend::Config::default());
    let v2 = backend::Config {
        version: "v2".to_owned(),
        ..backend::Config::default()
    };
    site.add_version(2, &v2);
    site.roll(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| site.start(centre)).collect();
    instances
        .iter()
        .for_each(|instance| site.wait_until_serving(instance));
    let addresses: Vec<_> = instances.iter().map(|instance| instance.callers).collect();
    let callers = Traffic::start(&addresses, CALLERS, PAUSE);
    (site, instances, callers)
}

fn moving() -> Bundle {
    const FIRST_SHARE: f64 = 0.05;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    let mut bundle = bundle();
    let version = |name: &str| Version {
        name: id::Version::from(name),
    };
    let service = &mut bundle.services[0];
    service.versions = vec![version("v1"), version("v2")];
    service.shift = Some(Shift {
        from: id::Version::from("v1"),
        to: id::Version::from("v2"),
        first_share: FIRST_SHARE,
        deadline: (now + MOVE_TIME).as_secs(),
    });
    bundle
}

fn state(instance: &Instance) -> Option<Move> {
    instance.moves().into_iter().next()
}

fn requests(site: &Site, version: &str) -> u64 {
    let targets = site.version(version).into_iter();
    targets.map(|target| target.backend.counts().requests).sum()
}

/// Waits until each instance that knows of the move says that it has ended, and returns how.
fn wait_for_end(instances: &[Instance]) -> State {
    let ended = |instance: &Instance| {
        state(instance)
            .map(|m| m.state)
            .filter(|s| matches!(s, State::Done | State::TakenBack))
    };
    let mut end = None;
    within(
        MOVE_TIME + Duration::from_secs(5),
        "the end of the move",
        || {
            let states: Vec<_> = instances.iter().map(ended).collect();
            end = states[0];
            states.iter().all(|state| state.is_some() && *state == end)
        },
    );
    end.expect("an end")
}

#[test]
fn good_version_is_moved_to_by_the_deadline() {
    let (mut site, instances, callers) = open();
    site.roll(moving());
    assert_eq!(
        wait_for_end(&instances),
        State::Done,
        "{:?}",
        state(&instances[0])
    );
    let before = (requests(&site, "v1"), requests(&site, "v2"));
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        requests(&site, "v1"),
        before.0,
        "the old version still gets calls"
    );
    assert!(requests(&site, "v2") > before.1);
    callers.stop().check(&site);
}

#[test]
fn failing_version_gets_a_small_share_and_is_taken_back() {
    let (mut site, instances, callers) = open();
    let fails = Rule {
        path_prefix: "/levels".to_owned(),
        share: 0.5,
        fault: Fault::Error,
    };
    for target in site.version("v2") {
        target.backend.set_rules(vec![fails.clone()]);
    }
    let before = requests(&site, "v1");
    site.roll(moving());
    assert_eq!(wait_for_end(&instances), State::TakenBack);
    let (old, new) = (requests(&site, "v1") - before, requests(&site, "v2"));
    let share = new as f64 / (old + new) as f64;
    println!("the failing version got {new} of {} calls", old + new);
    assert!(
        share <= SMALL_SHARE,
        "the failing version got {share} of the calls"
    );
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        requests(&site, "v2"),
        new,
        "a version that was taken back gets calls"
    );
    callers.stop().check(&site);
}

#[test]
fn move_that_ends_in_an_outage_is_written_later_as_it_ended() {
    let (mut site, instances, callers) = open();
    site.roll(moving());
    eventually("a move under way", || {
        instances
            .iter()
            .all(|instance| state(instance).is_some_and(|m| m.share > 0.0))
    });
    site.platform
        .set_outage(Some(Outage::Unavailable))
        .expect("outage");
    let end = wait_for_end(&instances);
    let kept = |site: &Site| {
        let paths = site.platform.objects().list("moves/");
        paths
            .first()
            .and_then(|path| site.platform.objects().read(path))
    };
    site.platform.set_outage(None).expect("outage");
    eventually("the outcome in the store", || {
        let object = kept(&site);
        object.is_some_and(|object| {
            let progress: rollout::progress::Progress =
                rmp_serde::from_slice(&object.value).expect("progress");
            progress.state.is_ended()
        })
    });
    assert_eq!(wait_for_end(&instances), end);
    callers.stop().check(&site);
}
