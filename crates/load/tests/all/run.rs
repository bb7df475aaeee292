//! Whole runs.

use std::time::Duration;

use load::call::Call;
use load::outcome::Outcome;
use load::plan::Plan;
use load::run::run;
use stand_in::backend::{Backend, Config, Fault, Rule};

use crate::entry;

fn bind() -> Backend {
    Backend::bind(Config::default()).unwrap()
}

fn short() -> Plan {
    Plan::new(200.0, Duration::from_millis(200))
}

#[test]
fn a_mix_of_calls_is_sent_checked_and_reported() {
    let (one, two) = (bind(), bind());
    let plan = short()
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
    let served = [one.counts().requests, two.counts().requests];
    assert_eq!(served, [20, 20]);

    assert_eq!(report.to_html().unwrap().matches("<svg ").count(), 3);
    let json: serde_json::Value = serde_json::from_str(&report.to_json().unwrap()).unwrap();
    assert_eq!(json["rows"][0]["name"], "levels");
}

/// One connection bears half of the calls due, so that the last waits about as long as all took.
#[test]
fn latency_counts_from_when_a_call_was_due() {
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
fn a_key_that_ran_twice_is_found() {
    let backend = bind();
    let plan = short()
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
fn a_key_that_ran_in_spite_of_not_run_is_found() {
    let backend = bind();
    let head = "HTTP/1.1 503 Unavailable\r\nChivewheel-Outcome: not-run";
    let plan = short()
        .target(entry::bind(head, Some(&backend)))
        .stand_in(backend.address())
        .call(Call::post("order", "clayworks", "/orders"));
    let report = run(plan).unwrap();
    assert_eq!(report.audit.run_despite_not_run.len(), 40, "{report}");
}

#[test]
fn a_complete_call_that_never_ran_is_found() {
    let (asked, called) = (bind(), bind());
    let plan = short()
        .direct()
        .target(called.address())
        .stand_in(asked.address())
        .call(Call::post("order", "clayworks", "/orders"));
    let report = run(plan).unwrap();
    assert_eq!(report.audit.complete_but_not_run.len(), 40, "{report}");
}

#[test]
fn a_call_of_unknown_outcome_is_sent_again_with_its_key() {
    let backend = bind();
    backend.set_rules(vec![Rule {
        path_prefix: "/".to_owned(),
        share: 0.3,
        fault: Fault::Reset,
    }]);
    let plan = short()
        .direct()
        .target(backend.address())
        .stand_in(backend.address())
        .resends(20)
        .call(Call::post("order", "clayworks", "/orders"));
    let report = run(plan).unwrap();
    assert_eq!(report.count(Outcome::Complete), 40, "{report}");
    let times = report.audit.keys + report.resends;
    assert!(
        report.resends > 0 && backend.counts().executions == times,
        "{report}"
    );
}

#[test]
fn calls_that_cannot_be_sent_are_counted() {
    let config = Config {
        service_time: Duration::from_millis(400),
        ..Config::default()
    };
    let backend = Backend::bind(config).unwrap();
    let plan = short()
        .direct()
        .target(backend.address())
        .in_flight(3)
        .call(Call::get("levels", "gauge", "/levels"));
    let report = run(plan).unwrap();
    let counts = [Outcome::Complete, Outcome::Unsent].map(|outcome| report.count(outcome));
    assert_eq!(counts, [3, 37], "{report}");
}
