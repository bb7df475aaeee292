//! Measures the path of a call through one instance against a call straight to a backend server.
//!
//! One run prints, as a Markdown table, the latency of both at the same rate, and the calls that an
//! instance carries for each second of processor time. All load goes to loopback.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use std::time::Duration;

use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use load::report::Report;
use stand_in::backend;

/// The rate at which latencies are compared, in calls a second.
const LATENCY_RATE: f64 = 400.0;

/// The rates at which the processor time is measured, in calls a second.
const PROCESSOR_TIME_RATES: [f64; 3] = [500.0, 1_000.0, 2_000.0];

/// How long each load lasts.
const PHASE_TIME: Duration = Duration::from_secs(5);

/// The backend servers in each data centre.
const SERVERS: usize = 8;

fn main() {
    let config = backend::Config {
        service_time: Duration::from_millis(2),
        ..backend::Config::default()
    };
    let mut cluster = cluster::Cluster::open(SERVERS, &config);
    cluster.publish_bundle(cluster::bundle());
    let instance = cluster.start(cluster::CENTRES[0]);
    cluster.wait_until_serving(&instance);
    warm(&cluster, &instance);

    println!("| path | rate /s | complete | p50 | p99 | p99.9 |");
    println!("|---|---|---|---|---|---|");
    let read = || Call::get("levels", "gauge.example", "/levels");
    let mut direct = Plan::new(LATENCY_RATE, PHASE_TIME).direct().call(read());
    for target in cluster.targets.iter().take(SERVERS) {
        direct = direct.target(target.backend.address());
    }
    row("direct", LATENCY_RATE, &run(direct));
    row(
        "one instance, reads",
        LATENCY_RATE,
        &run(plan(&instance, LATENCY_RATE).call(read())),
    );
    let order = Call::post("orders", "gauge.example", "/orders");
    row(
        "one instance, keyed orders",
        LATENCY_RATE,
        &run(plan(&instance, LATENCY_RATE).call(order)),
    );

    println!();
    println!("| calls /s | processor time, share of a core | calls a second of processor time |");
    println!("|---|---|---|");
    for rate in PROCESSOR_TIME_RATES {
        let before = processor_time(&instance);
        let report = run(plan(&instance, rate).call(read()));
        let used = processor_time(&instance) - before;
        let complete = report.count(Outcome::Complete) as f64;
        let share = used.as_secs_f64() / PHASE_TIME.as_secs_f64();
        let calls = complete / PHASE_TIME.as_secs_f64();
        println!(
            "| {calls:.0} | {share:.2} | {:.0} |",
            complete / used.as_secs_f64()
        );
    }
}

/// Returns the processor time that the process of `instance` has used.
fn processor_time(instance: &cluster::Instance) -> Duration {
    /// The clock ticks of `/proc`, a second. Linux fixes it for user space.
    const TICKS_PER_SECOND: f64 = 100.0;
    /// The places of user and system time behind the name of the program.
    const USER_TIME_FIELD: usize = 12;
    const SYSTEM_TIME_FIELD: usize = 13;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", instance.id())).expect("stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .expect("fields")
        .split(' ')
        .collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("ticks");
    Duration::from_secs_f64((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_SECOND)
}

fn plan(instance: &cluster::Instance, rate: f64) -> Plan {
    Plan::new(rate, PHASE_TIME).target(instance.caller_address)
}

fn run(plan: Plan) -> Report {
    load::run::run(plan).expect("load")
}

/// Sends calls until no server is cold any more.
fn warm(cluster: &cluster::Cluster, instance: &cluster::Instance) {
    let read = Call::get("levels", "gauge.example", "/levels");
    let plan = Plan::new(LATENCY_RATE, PHASE_TIME / 2)
        .target(instance.caller_address)
        .call(read);
    let report = run(plan);
    assert!(report.count(Outcome::Complete) > 0, "no call was answered");
    assert_eq!(cluster.targets.len(), SERVERS * cluster::CENTRES.len());
}

fn row(path: &str, rate: f64, report: &Report) {
    let Some(kind) = report.rows.first() else {
        return;
    };
    let ms = |name: &str| {
        kind.complete
            .quantiles
            .get(name)
            .copied()
            .unwrap_or(f64::NAN)
    };
    println!(
        "| {path} | {rate:.0} | {} | {:.2} ms | {:.2} ms | {:.2} ms |",
        report.count(Outcome::Complete),
        ms("p50"),
        ms("p99"),
        ms("p99.9"),
    );
}
