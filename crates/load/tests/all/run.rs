//! Complete runs against backend stand-ins.

use std::time::Duration;

use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use load::run::run;
use stand_in::backend::{Backend, Config, Fault, Rule};

use crate::entry;

fn bind_backend() -> Backend {
    Backend::bind(Config::default()).unwrap()
}

fn short_plan() -> Plan {
    Plan::new(200.0, Duration::from_millis(200))
}

#[test]
fn mixed_calls_are_sent_checked_and_reported() {
    let (one, two) = (bind_backend(), bind_backend());
    let plan = short_plan()
        .direct()
        .target(one.address())
        .target(two.address())
        .stand_in(one.address())
        .stand_in(two.address())
        .call(Call::get("levels", "gauge", "/levels?pond=1").with_weight(3))
        .call(Call::post("order", "clayworks", "/orders"))
        .call(Call::get("none", "gauge", "/none").with_weight(0));
    let report = run(plan).unwrap();
    assert_eq!(report.count(Outcome::Complete), 40, "{report}");
    assert_eq!(report.violations(), 0, "{report}");
    let orders = report.rows[1].count(Outcome::Complete);
    assert!((1..40).contains(&orders), "{report}");
    assert_eq!(report.rows[2].count(Outcome::Complete), 0);
    assert_eq!(
        (report.audit.keys, report.audit.executions),
        (orders, orders)
    );
    let request_counts = [one.counts().requests, two.counts().requests];
    assert_eq!(request_counts, [20, 20]);

    assert_eq!(report.to_html().unwrap().matches("<svg ").count(), 3);
    let json: serde_json::Value = serde_json::from_str(&report.to_json().unwrap()).unwrap();
    assert_eq!(json["rows"][0]["name"], "levels");
}

/// One connection can carry only half of the scheduled rate, so the latency of the last call
/// includes a wait of about half the time that all calls take.
#[test]
fn latency_is_measured_from_the_scheduled_start() {
    let config = Config {
        service_time: Duration::from_millis(20),
        ..Config::default()
    };
    let backend = Backend::bind(config).unwrap();
    let plan = Plan::new(100.0, Duration::from_millis(500))
        .direct()
        .connections(1)
        .target(backend.address())
        .call(Call::get("levels", "gauge", "/levels"));
    let report = run(plan).unwrap();
    assert_eq!(report.count(Outcome::Complete), 50, "{report}");
    assert!(report.rows[0].complete.max >= 480.0, "{report}");
}

#[test]
fn duplicate_executions_of_a_key_are_detected() {
    let backend = bind_backend();
    let plan = short_plan()
        .direct()
        .target(backend.address())
        .stand_in(backend.address())
        .duplicates(1.0)
        .call(Call::post("order", "clayworks", "/orders"));
    let report = run(plan).unwrap();
    assert_eq!(
        (report.audit.repeated.len(), report.resends),
        (40, 40),
        "{report}"
    );
}

#[test]
fn executions_despite_not_run_are_detected() {
    let backend = bind_backend();
    let head = "HTTP/1.1 503 Unavailable\r\nChivewheel-Outcome: not-run";
    let plan = short_plan()
        .target(entry::bind(head, Some(&backend)))
        .stand_in(backend.address())
        .call(Call::post("order", "clayworks", "/orders"));
    let report = run(plan).unwrap();
    assert_eq!(report.audit.run_despite_not_run.len(), 40, "{report}");
}

#[test]
fn complete_calls_without_execution_are_detected() {
    let (audited, called) = (bind_backend(), bind_backend());
    let plan = short_plan()
        .direct()
        .target(called.address())
        .stand_in(audited.address())
        .call(Call::post("order", "clayworks", "/orders"));
    let report = run(plan).unwrap();
    assert_eq!(report.audit.complete_but_not_run.len(), 40, "{report}");
}

#[test]
fn calls_of_unknown_outcome_are_resent_with_their_key() {
    let backend = bind_backend();
    backend.set_rules(vec![Rule {
        path_prefix: "/".to_owned(),
        share: 0.3,
        fault: Fault::Reset,
    }]);
    let plan = short_plan()
        .direct()
        .target(backend.address())
        .stand_in(backend.address())
        .resends(20)
        .call(Call::post("order", "clayworks", "/orders"));
    let report = run(plan).unwrap();
    assert_eq!(report.count(Outcome::Complete), 40, "{report}");
    let expected_executions = report.audit.keys + report.resends;
    assert!(
        report.resends > 0 && backend.counts().executions == expected_executions,
        "{report}"
    );
}

#[test]
fn unsent_calls_are_counted() {
    let config = Config {
        service_time: Duration::from_millis(400),
        ..Config::default()
    };
    let backend = Backend::bind(config).unwrap();
    let plan = short_plan()
        .direct()
        .target(backend.address())
        .in_flight(3)
        .call(Call::get("levels", "gauge", "/levels"));
    let report = run(plan).unwrap();
    let counts = [Outcome::Complete, Outcome::Unsent].map(|outcome| report.count(outcome));
    assert_eq!(counts, [3, 37], "{report}");
}
