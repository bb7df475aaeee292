//! Failures of instances, of the platform and of backend servers, with callers at work.

use std::time::Duration;

use rustix::process::Signal;
use stand_in::backend;
use stand_in::platform::Outage;

use crate::site::{bundle, eventually, Call, Instance, Site, CENTRES};
use crate::traffic::{Seen, Traffic};

const CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(5);

/// The time that callers are at work before and after a failure.
const SPELL: Duration = Duration::from_millis(1500);

/// Longer than a lease and its margin.
const FREEZE: Duration = Duration::from_millis(2500);

/// After this a leaving server or data centre gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// The slots of a server are never exceeded, cold or warm, and no key runs twice.
fn check(site: &Site, seen: &Seen) {
    seen.check(site);
    for target in &site.targets {
        let counts = target.backend.counts();
        assert_eq!(counts.over_slots, 0, "{}: {counts:?}", target.listed.name);
        assert_eq!(counts.over_cold, 0, "{}: {counts:?}", target.listed.name);
        assert_eq!(counts.repeats, 0, "{}: {counts:?}", target.listed.name);
    }
}

fn open() -> (Site, Vec<Instance>) {
    let config = backend::Config {
        warmup: backend::Warmup {
            requests: 5,
            ..backend::Config::default().warmup
        },
        ..backend::Config::default()
    };
    let mut site = Site::open(2, &config);
    site.roll(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| site.start(centre)).collect();
    instances
        .iter()
        .for_each(|instance| site.wait_until_serving(instance));
    (site, instances)
}

fn traffic(instances: &[Instance]) -> Traffic {
    let addresses: Vec<_> = instances.iter().map(|instance| instance.callers).collect();
    Traffic::start(&addresses, CALLERS, PAUSE)
}

/// More callers than the data centres of two instances can serve, so that calls go to the third.
fn crowd(site: &Site, instances: &[Instance]) -> Traffic {
    const CROWD: usize = 40;
    const SLOW: f64 = 10.0;
    let others = site
        .targets
        .iter()
        .filter(|t| t.listed.centre.as_str() != CENTRES[0]);
    others.for_each(|target| target.backend.set_slowdown(SLOW));
    let addresses: Vec<_> = instances.iter().map(|instance| instance.callers).collect();
    Traffic::start(&addresses, CROWD, Duration::ZERO)
}

fn work(traffic: &Traffic) {
    let before = traffic.complete();
    std::thread::sleep(SPELL);
    eventually("a complete answer", || traffic.complete() > before);
}

#[test]
fn planned_stop_cuts_no_call() {
    let (site, mut instances) = open();
    let leaving = instances.remove(0);
    // The platform's balancer sends nothing more to an instance that is not ready: connections that
    // were opened before are answered.
    let staying = traffic(&instances);
    let ending = traffic(std::slice::from_ref(&leaving));
    work(&staying);
    work(&ending);
    leaving.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    let ended = ending.stop();
    assert_eq!(leaving.wait(), Some(0));
    work(&staying);
    let stayed = staying.stop();
    assert_eq!((ended.cut, stayed.cut), (0, 0), "{ended:?} {stayed:?}");
    let errors = [&ended.errors[..], &stayed.errors[..]].concat();
    assert_eq!((ended.unknown, stayed.unknown), (0, 0), "{errors:?}");
    check(&site, &ended);
    check(&site, &stayed);
}

#[test]
fn killed_instance_leaves_the_others_serving() {
    let (site, mut instances) = open();
    let killed = instances.remove(0);
    let staying = traffic(&instances);
    work(&staying);
    killed.signal(Signal::KILL);
    work(&staying);
    work(&staying);
    work(&staying);
    let seen = staying.stop();
    assert_eq!(seen.cut, 0);
    check(&site, &seen);
    // The pool of the killed owner serves again.
    let east = site.targets[0].backend.counts().requests;
    let crowd = crowd(&site, &instances);
    eventually("work at the pool of the killed owner", || {
        site.targets[0].backend.counts().requests > east
    });
    check(&site, &crowd.stop());
}

#[test]
fn frozen_instance_grants_nothing_when_it_goes_on() {
    let (site, mut instances) = open();
    let frozen = instances.remove(0);
    let staying = traffic(&instances);
    work(&staying);
    frozen.signal(Signal::STOP);
    std::thread::sleep(FREEZE);
    frozen.signal(Signal::CONT);
    work(&staying);
    let thawed = traffic(std::slice::from_ref(&frozen));
    work(&staying);
    check(&site, &staying.stop());
    check(&site, &thawed.stop());
}

#[test]
fn store_outage_stops_neither_reads_nor_first_attempts() {
    let (site, instances) = open();
    let callers = traffic(&instances);
    work(&callers);
    site.platform
        .set_outage(Some(Outage::Unavailable))
        .expect("outage");
    std::thread::sleep(FREEZE);
    let order =
        Call::post("/orders/in-outage", "in-outage", b"clay").with("Chivewheel-Attempt", "1");
    let answer = instances[1].call(&order).expect("answer");
    assert_eq!(answer.header("Chivewheel-Outcome"), Some("complete"));
    // A resend through another instance gets the same answer.
    let resend =
        Call::post("/orders/in-outage", "in-outage", b"clay").with("Chivewheel-Attempt", "2");
    let again = instances[2].call(&resend).expect("answer");
    assert_eq!(again.body, answer.body);
    // A call that may be a resend, and that nobody can tell to be unrun, is undecided.
    let other = Call::post("/orders/other", "other", b"clay");
    site.platform.set_outage(None).expect("outage");
    work(&callers);
    let answer = instances[0].call(&other).expect("answer");
    assert_eq!(answer.header("Chivewheel-Outcome"), Some("complete"));
    let seen = callers.stop();
    assert_eq!(seen.unknown, 0);
    assert_eq!(site.executions("in-outage"), 1);
    check(&site, &seen);
}

#[test]
fn owner_killed_in_an_outage_is_stood_in_for() {
    let (site, mut instances) = open();
    let killed = instances.remove(0);
    let staying = traffic(&instances);
    site.platform
        .set_outage(Some(Outage::Refuse))
        .expect("outage");
    std::thread::sleep(FREEZE);
    killed.signal(Signal::KILL);
    let before = site.targets[0].backend.counts().requests;
    let crowd = crowd(&site, &instances);
    eventually("work at the pool of the killed owner", || {
        site.targets[0].backend.counts().requests > before + 10
    });
    site.platform.set_outage(None).expect("outage");
    work(&staying);
    check(&site, &staying.stop());
    check(&site, &crowd.stop());
}

#[test]
fn data_centre_taken_out_gets_no_work_and_comes_back() {
    let (mut site, instances) = open();
    let callers = traffic(&instances);
    work(&callers);
    let mut out = bundle();
    out.centres[0].in_service = false;
    site.roll(out);
    std::thread::sleep(LEAVING_LIMIT);
    let requests = |site: &Site| -> u64 {
        let targets = site
            .targets
            .iter()
            .filter(|t| t.listed.centre.as_str() == CENTRES[0]);
        targets.map(|target| target.backend.counts().requests).sum()
    };
    let before = requests(&site);
    work(&callers);
    assert_eq!(
        requests(&site),
        before,
        "work for a data centre that is out"
    );
    site.targets
        .iter()
        .take(2)
        .for_each(|target| target.backend.restart_cold());
    site.roll(bundle());
    eventually("work at the data centre that is back", || {
        requests(&site) > before
    });
    work(&callers);
    let seen = callers.stop();
    assert_eq!((seen.cut, seen.unknown), (0, 0));
    check(&site, &seen);
}

#[test]
fn leaving_server_gets_no_work() {
    let (mut site, instances) = open();
    let callers = traffic(&instances);
    work(&callers);
    site.targets[0].listed.health = platform::Health::Leaving;
    site.list();
    std::thread::sleep(LEAVING_LIMIT);
    let before = site.targets[0].backend.counts().requests;
    work(&callers);
    assert_eq!(site.targets[0].backend.counts().requests, before);
    let seen = callers.stop();
    assert_eq!((seen.cut, seen.unknown), (0, 0));
    check(&site, &seen);
}

#[test]
fn crashing_request_ends_at_most_two_servers() {
    let (site, instances) = open();
    let callers = traffic(&instances);
    work(&callers);
    // The caller sends it again at once, through each instance in turn.
    for attempt in 0..30 {
        let call = Call::get("/levels/crash-mark");
        // Whatever the answer says, the caller tries again.
        let _answer = instances[attempt % instances.len()].call(&call);
    }
    let crashes: u64 = site
        .targets
        .iter()
        .map(|t| t.backend.counts().crashes)
        .sum();
    assert!((1..=2).contains(&crashes), "{crashes} servers crashed");
    work(&callers);
    let seen = callers.stop();
    seen.check(&site);
}

#[test]
fn broken_answers_are_never_passed_on() {
    use stand_in::backend::{Fault, Rule};
    let (site, instances) = open();
    let faults = [
        Fault::ShortBody,
        Fault::BrokenChunk,
        Fault::LongBody,
        Fault::Mismatched,
        Fault::Reset,
        Fault::Delayed(Duration::from_millis(50)),
        Fault::NoResponse,
    ];
    for (target, fault) in site.targets.iter().zip(faults) {
        let rule = |path: &str| Rule {
            path_prefix: path.to_owned(),
            fault,
            share: 0.2,
        };
        target
            .backend
            .set_rules(vec![rule("/levels"), rule("/orders")]);
    }
    let callers = traffic(&instances);
    work(&callers);
    eventually("a hundred complete answers", || callers.complete() > 100);
    let seen = callers.stop();
    check(&site, &seen);
}
