//! Measures the path of a call through one instance against a call straight to a backend server.
//!
//! One run prints, as a Markdown table, the latency of both at the same rate, and the calls that an
//! instance carries for each second of processor time. All load goes to loopback.

#[path = "../tests/all/site.rs"]
#[allow(dead_code)]
mod site;

use std::time::Duration;

use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use load::report::Report;
use stand_in::backend;

/// The rate at which latencies are compared, in calls a second.
const RATE: f64 = 400.0;

/// The rates at which the processor time is measured, in calls a second.
const RATES: [f64; 3] = [500.0, 1_000.0, 2_000.0];

/// How long each load lasts.
const SPELL: Duration = Duration::from_secs(5);

/// The backend servers in each data centre.
const SERVERS: usize = 8;

fn main() {
    let config = backend::Config {
        service_time: Duration::from_millis(2),
        ..backend::Config::default()
    };
    let mut site = site::Site::open(SERVERS, &config);
    site.roll(site::bundle());
    let instance = site.start(site::CENTRES[0]);
    site.wait_until_serving(&instance);
    warm(&site, &instance);

    println!("| path | rate /s | complete | p50 | p99 | p99.9 |");
    println!("|---|---|---|---|---|---|");
    let read = || Call::get("levels", "gauge.example", "/levels");
    let mut direct = Plan::new(RATE, SPELL).direct().call(read());
    for target in site.targets.iter().take(SERVERS) {
        direct = direct.target(target.backend.address());
    }
    row("direct", RATE, &run(direct));
    row(
        "one instance, reads",
        RATE,
        &run(plan(&instance, RATE).call(read())),
    );
    let order = Call::post("orders", "gauge.example", "/orders");
    row(
        "one instance, keyed orders",
        RATE,
        &run(plan(&instance, RATE).call(order)),
    );

    println!();
    println!("| calls /s | processor time, share of a core | calls a second of processor time |");
    println!("|---|---|---|");
    for rate in RATES {
        let before = processor_time(&instance);
        let report = run(plan(&instance, rate).call(read()));
        let used = processor_time(&instance) - before;
        let complete = report.count(Outcome::Complete) as f64;
        let share = used.as_secs_f64() / SPELL.as_secs_f64();
        let calls = complete / SPELL.as_secs_f64();
        println!(
            "| {calls:.0} | {share:.2} | {:.0} |",
            complete / used.as_secs_f64()
        );
    }
}

/// Returns the processor time that the process of `instance` has used.
fn processor_time(instance: &site::Instance) -> Duration {
    /// The clock ticks of `/proc`, a second. Linux fixes it for user space.
    const TICKS: f64 = 100.0;
    /// The places of user and system time behind the name of the program.
    const USER: usize = 12;
    const SYSTEM: usize = 13;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", instance.id())).expect("stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .expect("fields")
        .split(' ')
        .collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("ticks");
    Duration::from_secs_f64((ticks(USER) + ticks(SYSTEM)) / TICKS)
}

fn plan(instance: &site::Instance, rate: f64) -> Plan {
    Plan::new(rate, SPELL).target(instance.callers)
}

fn run(plan: Plan) -> Report {
    load::run::run(plan).expect("load")
}

/// Sends calls until no server is cold any more.
fn warm(site: &site::Site, instance: &site::Instance) {
    let read = Call::get("levels", "gauge.example", "/levels");
    let plan = Plan::new(RATE, SPELL / 2)
        .target(instance.callers)
        .call(read);
    let report = run(plan);
    assert!(report.count(Outcome::Complete) > 0, "no call was answered");
    assert_eq!(site.targets.len(), SERVERS * site::CENTRES.len());
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
