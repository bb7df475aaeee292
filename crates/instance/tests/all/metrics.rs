//! Metrics served at `GET /metrics`.

use std::time::Duration;

use client::{Connection, Limits, Request};
use stand_in::backend::{self, Backend};

use crate::cluster::{eventually, get, wait_until_serving, Call, Cluster, Instance};

fn start_instance() -> (Cluster, Backend, Instance) {
    let config = backend::Config {
        service_time: Duration::from_millis(2),
        ..backend::Config::default()
    };
    let backend = Backend::bind(config).expect("backend");
    let cluster = Cluster::open(&[("east", backend.address())]);
    cluster.publish_bundle();
    let instance = cluster.start("east", &[]);
    (cluster, backend, instance)
}

fn read(instance: &Instance) -> String {
    let answer = get(instance.operators(), "/metrics");
    assert_eq!(answer.status, 200);
    String::from_utf8(answer.body).expect("text")
}

/// Returns the value of the first series of the metric `name` that has all `labels`.
fn value(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let matches = |line: &&str| {
        let rest = line.strip_prefix(name);
        let is_named = rest.is_some_and(|rest| rest.starts_with(['{', ' ']));
        is_named && labels.iter().all(|label| line.contains(label))
    };
    let line = text.lines().find(matches)?;
    line.rsplit_once(' ')?.1.parse().ok()
}

#[test]
fn calls_are_counted_by_service_route_and_outcome() {
    let (_cluster, _backend, instance) = start_instance();
    wait_until_serving(&instance);
    let levels = [
        "service=\"gauge\"",
        "route=\"levels\"",
        "outcome=\"complete\"",
    ];
    let unknown = ["service=\"none\"", "route=\"none\"", "outcome=\"not-run\""];
    let initial = read(&instance);
    let before = value(&initial, "chivewheel_calls_total", &levels).expect("calls");
    // Calls that arrived before the bundle have no service either.
    let unknown_before = value(&initial, "chivewheel_calls_total", &unknown).unwrap_or(0.0);
    for _ in 0..3 {
        get(instance.callers(), "/levels/1");
    }
    get(instance.callers(), "/nowhere/1");
    let order = Call {
        method: "POST",
        target: "/orders",
        headers: &[("Idempotency-Key", "order-1")],
    };
    order.send(instance.callers());
    let text = read(&instance);
    assert_eq!(
        value(&text, "chivewheel_calls_total", &levels),
        Some(before + 3.0)
    );
    let unknown_calls = value(&text, "chivewheel_calls_total", &unknown);
    assert_eq!(unknown_calls, Some(unknown_before + 1.0));
    let refused = value(&text, "chivewheel_refusals_total", &["reason=\"no-route\""]);
    assert_eq!(refused, Some(1.0));
    let claims = value(&text, "chivewheel_claims_total", &["verdict=\"run\""]);
    assert_eq!(claims, Some(1.0));
    let attempts = ["service=\"gauge\"", "outcome=\"answered\""];
    assert!(value(&text, "chivewheel_attempts_total", &attempts) >= Some(before + 4.0));
}

#[test]
fn latencies_have_buckets_from_50_microseconds() {
    let (_cluster, _backend, instance) = start_instance();
    wait_until_serving(&instance);
    let text = read(&instance);
    for name in [
        "chivewheel_call_duration",
        "chivewheel_call_added",
        "chivewheel_wait_duration",
    ] {
        let bucket = format!("{name}_seconds_bucket");
        assert!(
            value(&text, &bucket, &["le=\"0.00005\""]).is_some(),
            "{name}"
        );
    }
    let levels = ["route=\"levels\""];
    let total = value(&text, "chivewheel_call_duration_seconds_sum", &levels).expect("sum");
    let added = value(&text, "chivewheel_call_added_seconds_sum", &levels).expect("sum");
    // Each complete response took the backend server 2 ms, which do not count as added latency.
    assert!(added + 0.002 <= total, "{added} of {total}");
}

#[test]
fn state_metrics_show_the_current_state() {
    let (_cluster, _backend, instance) = start_instance();
    wait_until_serving(&instance);
    get(instance.callers(), "/levels/1");
    let east = ["service=\"gauge\"", "centre=\"east\""];
    eventually("the return of all credits", || {
        value(&read(&instance), "chivewheel_pool_live", &east) == Some(0.0)
    });
    let text = read(&instance);
    assert_eq!(value(&text, "chivewheel_bundle_version", &[]), Some(1.0));
    assert_eq!(value(&text, "chivewheel_roster_epoch", &[]), Some(1.0));
    assert_eq!(value(&text, "chivewheel_duties_held", &[]), Some(1.0));
    assert_eq!(value(&text, "chivewheel_members_silent", &[]), Some(0.0));
    assert_eq!(value(&text, "chivewheel_queue_length", &east), Some(0.0));
    assert_eq!(value(&text, "chivewheel_pool_ejected", &east), Some(0.0));
    assert!(value(&text, "chivewheel_pool_allowance", &east) >= Some(1.0));
    assert!(value(&text, "chivewheel_connections", &["port=\"callers\""]).is_some());
    assert!(
        value(
            &text,
            "chivewheel_platform_calls_total",
            &["kind=\"servers\""]
        ) >= Some(1.0)
    );
    let credits = |event| {
        let event = format!("event=\"{event}\"");
        value(
            &text,
            "chivewheel_credits_total",
            &[east[0], east[1], &event],
        )
        .expect("credits")
    };
    assert!(credits("granted") >= 2.0);
    assert_eq!(credits("granted"), credits("returned") + credits("expired"));
}

#[test]
fn refused_frames_are_counted_by_fault() {
    let (_cluster, _backend, instance) = start_instance();
    let forged = Request {
        method: "POST",
        target: "/v1/message",
        host: "instance",
        headers: &[],
        body: &[1; 64],
    };
    let answer = smol::block_on(async {
        let connection = Connection::open(instance.peers()).await?;
        connection.exchange(&forged, Limits::default()).await
    });
    assert_eq!(answer.expect("answer").0.status, 400);
    let text = read(&instance);
    let refused = value(&text, "chivewheel_frames_refused_total", &["fault=\"tag\""]);
    assert_eq!(refused, Some(1.0));
}
