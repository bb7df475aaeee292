//! Compares calls through one instance with calls sent directly to a backend server.
//!
//! Prints Markdown tables of the latency of both at the same rate, and of the calls that an
//! instance serves per second of processor time. All traffic uses the loopback interface.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use std::time::Duration;

use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use load::report::Report;
use stand_in::backend;

/// The rate at which latencies are compared, in calls per second.
const LATENCY_RATE: f64 = 400.0;

/// The rates at which the processor time is measured, in calls per second.
const PROCESSOR_TIME_RATES: [f64; 3] = [500.0, 1_000.0, 2_000.0];

/// The duration of each load.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// The number of backend servers in each data centre.
const SERVERS_PER_CENTRE: usize = 8;

fn main() {
    let config = backend::Config {
        service_time: Duration::from_millis(2),
        ..backend::Config::default()
    };
    let mut cluster = cluster::Cluster::open(SERVERS_PER_CENTRE, &config);
    cluster.publish_bundle(cluster::bundle());
    let instance = cluster.start(cluster::CENTRES[0]);
    cluster.wait_until_serving(&instance);
    warm_up(&cluster, &instance);

    println!("| path | rate /s | complete | p50 | p99 | p99.9 |");
    println!("|---|---|---|---|---|---|");
    let read = || Call::get("levels", "gauge.example", "/levels");
    let mut direct = Plan::new(LATENCY_RATE, LOAD_TIME).direct().call(read());
    for target in cluster.targets.iter().take(SERVERS_PER_CENTRE) {
        direct = direct.target(target.backend.address());
    }
    print_row("direct", LATENCY_RATE, &run(direct));
    print_row(
        "one instance, reads",
        LATENCY_RATE,
        &run(plan(&instance, LATENCY_RATE).call(read())),
    );
    let order = Call::post("orders", "gauge.example", "/orders");
    print_row(
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
        let time_used = processor_time(&instance) - before;
        let complete = report.count(Outcome::Complete) as f64;
        let share = time_used.as_secs_f64() / LOAD_TIME.as_secs_f64();
        let calls = complete / LOAD_TIME.as_secs_f64();
        println!(
            "| {calls:.0} | {share:.2} | {:.0} |",
            complete / time_used.as_secs_f64()
        );
    }
}

/// Returns the processor time that the process of `instance` has used.
fn processor_time(instance: &cluster::Instance) -> Duration {
    /// The clock ticks per second in `/proc`. Linux fixes this value for user space.
    const TICKS_PER_SECOND: f64 = 100.0;
    /// The positions of user and system time after the program name in `/proc/PID/stat`.
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
    Plan::new(rate, LOAD_TIME).target(instance.caller_address)
}

fn run(plan: Plan) -> Report {
    load::run::run(plan).expect("load")
}

/// Sends calls so that the backend servers warm up.
fn warm_up(cluster: &cluster::Cluster, instance: &cluster::Instance) {
    let read = Call::get("levels", "gauge.example", "/levels");
    let plan = Plan::new(LATENCY_RATE, LOAD_TIME / 2)
        .target(instance.caller_address)
        .call(read);
    let report = run(plan);
    assert!(report.count(Outcome::Complete) > 0, "no call completed");
    assert_eq!(
        cluster.targets.len(),
        SERVERS_PER_CENTRE * cluster::CENTRES.len()
    );
}

fn print_row(path: &str, rate: f64, report: &Report) {
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
