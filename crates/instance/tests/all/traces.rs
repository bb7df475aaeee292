//! Spans that a collector receives, and the `traceparent` header that backend servers receive.

use crate::cluster::{eventually, wait_until_serving, Call, Cluster, Instance};
use crate::recorder::{Recorded, Recorder};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const TRACE_BYTES: [u8; 16] = 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c_u128.to_be_bytes();
const CALLER_SPAN: &str = "b7ad6b7169203331";

/// Sends a call with the caller's trace context and returns the `traceparent` header that the
/// backend server received.
fn send_traced(instance: &Instance, backend: &Recorder, method: &str, flags: &str) -> String {
    let traceparent = format!("00-{TRACE}-{CALLER_SPAN}-{flags}");
    let target = if method == "GET" {
        "/levels/7"
    } else {
        "/orders/7"
    };
    let call = Call {
        method,
        target,
        headers: &[
            ("traceparent", &traceparent),
            ("Idempotency-Key", "order-7"),
        ],
    };
    let answer = call.send(instance.callers());
    assert_eq!(answer.header("Chivewheel-Outcome"), Some("complete"));
    let requests = backend.requests();
    let request = requests.iter().find(|request| request.line.contains("/7"));
    let header = request.expect("request").header("traceparent");
    header.expect("traceparent").to_owned()
}

fn has_span(collector: &Recorder, instance: &str, span: &str) -> bool {
    let matches = |export: &Recorded| {
        let name = [&[span.len() as u8], span.as_bytes()].concat();
        let instance = format!("{instance}-");
        export.contains(&TRACE_BYTES)
            && export.contains(&name)
            && export.contains(instance.as_bytes())
    };
    collector.requests().iter().any(matches)
}

#[test]
fn a_call_has_a_span_for_each_step_including_those_at_another_instance() {
    let (backend, collector) = (Recorder::bind(), Recorder::bind());
    let cluster = Cluster::open(&[("north", backend.address)]);
    cluster.publish_bundle();
    let url = format!("http://{}", collector.address);
    let extra = ["--otlp", &url, "--trace-ratio", "0"];
    let east = cluster.start("east", &extra);
    let north = cluster.start("north", &extra);
    wait_until_serving(&east);
    wait_until_serving(&north);
    eventually("two members", || {
        east.node().view.roster().members.len() == 2
    });
    let sent = send_traced(&east, &backend, "POST", "01");
    let parts: Vec<&str> = sent.split('-').collect();
    assert_eq!((parts[1], parts[3]), (TRACE, "01"));
    assert_ne!(parts[2], CALLER_SPAN, "the attempt has its own span");
    for span in ["entry", "wait", "attempt"] {
        eventually(span, || has_span(&collector, "east", span));
    }
    eventually("grant", || has_span(&collector, "north", "grant"));
    eventually("claim", || {
        has_span(&collector, "north", "claim") || has_span(&collector, "east", "claim")
    });
    let lines: Vec<String> = collector.requests().into_iter().map(|r| r.line).collect();
    assert!(lines
        .iter()
        .all(|line| line.starts_with("POST /v1/traces ")));
}

#[test]
fn a_trace_that_the_caller_does_not_sample_is_propagated_but_not_exported() {
    let (backend, collector) = (Recorder::bind(), Recorder::bind());
    let cluster = Cluster::open(&[("east", backend.address)]);
    cluster.publish_bundle();
    let url = format!("http://{}", collector.address);
    let east = cluster.start("east", &["--otlp", &url, "--trace-ratio", "1"]);
    wait_until_serving(&east);
    let sent = send_traced(&east, &backend, "GET", "00");
    assert!(sent.starts_with(&format!("00-{TRACE}-")) && sent.ends_with("-00"));
    // The earlier calls have no sampling decision from a caller: they are sampled and exported.
    smol::block_on(east.stop());
    let exports = collector.requests();
    assert!(!exports.is_empty());
    assert!(!exports.iter().any(|export| export.contains(&TRACE_BYTES)));
}

#[test]
fn without_a_collector_the_trace_header_is_forwarded_unchanged() {
    let backend = Recorder::bind();
    let cluster = Cluster::open(&[("east", backend.address)]);
    cluster.publish_bundle();
    let east = cluster.start("east", &[]);
    wait_until_serving(&east);
    let sent = send_traced(&east, &backend, "GET", "01");
    assert_eq!(sent, format!("00-{TRACE}-{CALLER_SPAN}-01"));
}

#[test]
fn an_unreachable_collector_does_not_delay_calls() {
    let backend = Recorder::bind();
    let cluster = Cluster::open(&[("east", backend.address)]);
    cluster.publish_bundle();
    // Nothing listens on this port after `drop`, so connections to it are refused.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port");
    let url = format!("http://{}", listener.local_addr().expect("address"));
    drop(listener);
    let east = cluster.start("east", &["--otlp", &url, "--trace-ratio", "1"]);
    wait_until_serving(&east);
    for _ in 0..50 {
        let call = Call {
            method: "GET",
            target: "/levels/1",
            headers: &[("Chivewheel-Deadline-Ms", "1000")],
        };
        let answer = call.send(east.callers());
        assert_eq!(answer.header("Chivewheel-Outcome"), Some("complete"));
    }
}
