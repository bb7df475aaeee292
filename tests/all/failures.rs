//! Failures of instances, of the platform and of backend servers under traffic.

use std::time::Duration;

use rustix::process::Signal;
use stand_in::backend;
use stand_in::platform::Outage;

use crate::cluster::{bundle, eventually, Call, Cluster, Instance, CENTRES};
use crate::traffic::{Results, Traffic};

const CALLERS: usize = 12;

/// The pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(5);

/// How long callers send calls before and after a failure.
const PHASE_TIME: Duration = Duration::from_millis(1500);

/// Longer than a lease and its safety margin.
const FREEZE_TIME: Duration = Duration::from_millis(2500);

/// The time within which a leaving server or data centre stops receiving new work.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Asserts that no server got more requests than it has slots, cold or warm, that no key was
/// executed twice, and that the results are valid.
fn assert_limits(cluster: &Cluster, results: &Results) {
    results.assert_invariants(cluster);
    for target in &cluster.targets {
        let counts = target.backend.counts();
        assert_eq!(counts.over_slots, 0, "{}: {counts:?}", target.listed.name);
        assert_eq!(counts.over_cold, 0, "{}: {counts:?}", target.listed.name);
        assert_eq!(counts.repeats, 0, "{}: {counts:?}", target.listed.name);
    }
}

fn start_cluster() -> (Cluster, Vec<Instance>) {
    let config = backend::Config {
        warmup: backend::Warmup {
            requests: 5,
            ..backend::Config::default().warmup
        },
        ..backend::Config::default()
    };
    let mut cluster = Cluster::open(2, &config);
    cluster.publish_bundle(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| cluster.start(centre)).collect();
    instances
        .iter()
        .for_each(|instance| cluster.wait_until_serving(instance));
    (cluster, instances)
}

fn start_traffic(instances: &[Instance]) -> Traffic {
    let addresses: Vec<_> = instances
        .iter()
        .map(|instance| instance.caller_address)
        .collect();
    Traffic::start(&addresses, CALLERS, PAUSE)
}

/// Starts more callers than the data centres of two instances can serve, so that calls spill over
/// to the third.
fn overload(cluster: &Cluster, instances: &[Instance]) -> Traffic {
    const OVERLOAD_CALLERS: usize = 40;
    const SLOWDOWN: f64 = 10.0;
    let others = cluster
        .targets
        .iter()
        .filter(|t| t.listed.centre.as_str() != CENTRES[0]);
    others.for_each(|target| target.backend.set_slowdown(SLOWDOWN));
    let addresses: Vec<_> = instances
        .iter()
        .map(|instance| instance.caller_address)
        .collect();
    Traffic::start(&addresses, OVERLOAD_CALLERS, Duration::ZERO)
}

fn run_phase(traffic: &Traffic) {
    let before = traffic.complete();
    std::thread::sleep(PHASE_TIME);
    eventually("a complete response", || traffic.complete() > before);
}

#[test]
fn planned_stop_cuts_no_call() {
    let (cluster, mut instances) = start_cluster();
    let leaving = instances.remove(0);
    // The platform's balancer opens no new connections to an instance that is not ready. Calls on
    // connections that were opened before are still answered.
    let others = start_traffic(&instances);
    let to_leaving = start_traffic(std::slice::from_ref(&leaving));
    run_phase(&others);
    run_phase(&to_leaving);
    leaving.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    let leaving_results = to_leaving.stop();
    assert_eq!(leaving.wait(), Some(0));
    run_phase(&others);
    let others_results = others.stop();
    assert_eq!(
        (
            leaving_results.connection_errors,
            others_results.connection_errors
        ),
        (0, 0),
        "{leaving_results:?} {others_results:?}"
    );
    let errors = [&leaving_results.errors[..], &others_results.errors[..]].concat();
    assert_eq!(
        (leaving_results.unknown, others_results.unknown),
        (0, 0),
        "{errors:?}"
    );
    assert_limits(&cluster, &leaving_results);
    assert_limits(&cluster, &others_results);
}

#[test]
fn killed_instance_leaves_the_others_serving() {
    let (cluster, mut instances) = start_cluster();
    let killed = instances.remove(0);
    let others = start_traffic(&instances);
    run_phase(&others);
    killed.signal(Signal::KILL);
    run_phase(&others);
    run_phase(&others);
    run_phase(&others);
    let results = others.stop();
    assert_eq!(results.connection_errors, 0);
    assert_limits(&cluster, &results);
    // The pool of the killed owner is served again.
    let east = cluster.targets[0].backend.counts().requests;
    let load = overload(&cluster, &instances);
    eventually("calls to the pool of the killed owner", || {
        cluster.targets[0].backend.counts().requests > east
    });
    assert_limits(&cluster, &load.stop());
}

#[test]
fn frozen_instance_grants_nothing_when_it_goes_on() {
    let (cluster, mut instances) = start_cluster();
    let frozen = instances.remove(0);
    let others = start_traffic(&instances);
    run_phase(&others);
    frozen.signal(Signal::STOP);
    std::thread::sleep(FREEZE_TIME);
    frozen.signal(Signal::CONT);
    run_phase(&others);
    let to_resumed = start_traffic(std::slice::from_ref(&frozen));
    run_phase(&others);
    assert_limits(&cluster, &others.stop());
    assert_limits(&cluster, &to_resumed.stop());
}

#[test]
fn store_outage_stops_neither_reads_nor_first_attempts() {
    let (cluster, instances) = start_cluster();
    let callers = start_traffic(&instances);
    run_phase(&callers);
    cluster
        .platform
        .set_outage(Some(Outage::Unavailable))
        .expect("outage");
    std::thread::sleep(FREEZE_TIME);
    let order =
        Call::post("/orders/in-outage", "in-outage", b"clay").with("Chivewheel-Attempt", "1");
    let response = instances[1].call(&order).expect("response");
    assert_eq!(response.header("Chivewheel-Outcome"), Some("complete"));
    // A resend through another instance gets the same response.
    let resend =
        Call::post("/orders/in-outage", "in-outage", b"clay").with("Chivewheel-Attempt", "2");
    let again = instances[2].call(&resend).expect("response");
    assert_eq!(again.body, response.body);
    // Without an attempt number the call may be a resend. During the outage no instance could rule
    // out that it was executed before, so its outcome would be unknown. After the outage it
    // completes.
    let other = Call::post("/orders/other", "other", b"clay");
    cluster.platform.set_outage(None).expect("outage");
    run_phase(&callers);
    let response = instances[0].call(&other).expect("response");
    assert_eq!(response.header("Chivewheel-Outcome"), Some("complete"));
    let results = callers.stop();
    assert_eq!(results.unknown, 0);
    assert_eq!(cluster.executions("in-outage"), 1);
    assert_limits(&cluster, &results);
}

#[test]
fn owner_killed_in_an_outage_is_stood_in_for() {
    let (cluster, mut instances) = start_cluster();
    let killed = instances.remove(0);
    let others = start_traffic(&instances);
    cluster
        .platform
        .set_outage(Some(Outage::Refuse))
        .expect("outage");
    std::thread::sleep(FREEZE_TIME);
    killed.signal(Signal::KILL);
    let before = cluster.targets[0].backend.counts().requests;
    let load = overload(&cluster, &instances);
    eventually("calls to the pool of the killed owner", || {
        cluster.targets[0].backend.counts().requests > before + 10
    });
    cluster.platform.set_outage(None).expect("outage");
    run_phase(&others);
    assert_limits(&cluster, &others.stop());
    assert_limits(&cluster, &load.stop());
}

#[test]
fn data_centre_taken_out_gets_no_work_and_comes_back() {
    let (mut cluster, instances) = start_cluster();
    let callers = start_traffic(&instances);
    run_phase(&callers);
    let mut out = bundle();
    out.centres[0].in_service = false;
    cluster.publish_bundle(out);
    std::thread::sleep(DRAIN_TIME);
    let requests = |cluster: &Cluster| -> u64 {
        let targets = cluster
            .targets
            .iter()
            .filter(|t| t.listed.centre.as_str() == CENTRES[0]);
        targets.map(|target| target.backend.counts().requests).sum()
    };
    let before = requests(&cluster);
    run_phase(&callers);
    assert_eq!(
        requests(&cluster),
        before,
        "calls to a data centre that is out of service"
    );
    cluster
        .targets
        .iter()
        .take(2)
        .for_each(|target| target.backend.restart_cold());
    cluster.publish_bundle(bundle());
    eventually("calls to the data centre that is back in service", || {
        requests(&cluster) > before
    });
    run_phase(&callers);
    let results = callers.stop();
    assert_eq!((results.connection_errors, results.unknown), (0, 0));
    assert_limits(&cluster, &results);
}

#[test]
fn leaving_server_gets_no_work() {
    let (mut cluster, instances) = start_cluster();
    let callers = start_traffic(&instances);
    run_phase(&callers);
    cluster.targets[0].listed.health = platform::Health::Leaving;
    cluster.publish_servers();
    std::thread::sleep(DRAIN_TIME);
    let before = cluster.targets[0].backend.counts().requests;
    run_phase(&callers);
    assert_eq!(cluster.targets[0].backend.counts().requests, before);
    let results = callers.stop();
    assert_eq!((results.connection_errors, results.unknown), (0, 0));
    assert_limits(&cluster, &results);
}

#[test]
fn crashing_request_ends_at_most_two_servers() {
    let (cluster, instances) = start_cluster();
    let callers = start_traffic(&instances);
    run_phase(&callers);
    // The caller retries at once, through each instance in turn.
    for attempt in 0..30 {
        let call = Call::get("/levels/crash-mark");
        // The caller retries whatever the response is.
        let _response = instances[attempt % instances.len()].call(&call);
    }
    let crashes: u64 = cluster
        .targets
        .iter()
        .map(|t| t.backend.counts().crashes)
        .sum();
    assert!((1..=2).contains(&crashes), "{crashes} servers crashed");
    run_phase(&callers);
    let results = callers.stop();
    results.assert_invariants(&cluster);
}

#[test]
fn broken_answers_are_never_passed_on() {
    use stand_in::backend::{Fault, Rule};
    let (cluster, instances) = start_cluster();
    let faults = [
        Fault::ShortBody,
        Fault::BrokenChunk,
        Fault::LongBody,
        Fault::Mismatched,
        Fault::Reset,
        Fault::Delayed(Duration::from_millis(50)),
        Fault::NoResponse,
    ];
    for (target, fault) in cluster.targets.iter().zip(faults) {
        let rule = |path: &str| Rule {
            path_prefix: path.to_owned(),
            fault,
            share: 0.2,
        };
        target
            .backend
            .set_rules(vec![rule("/levels"), rule("/orders")]);
    }
    let callers = start_traffic(&instances);
    run_phase(&callers);
    eventually("a hundred complete responses", || callers.complete() > 100);
    let results = callers.stop();
    assert_limits(&cluster, &results);
}
