//! Tests of each injected fault, as observed by a caller.

use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_in::backend::{echo, Fault, Rule};

use crate::tools::{bind, body, call, header, receive, request, send};

fn rule(path: &str, share: f64, fault: Fault) -> Rule {
    let path_prefix = path.to_owned();
    Rule {
        path_prefix,
        share,
        fault,
    }
}

#[test]
fn a_response_echoes_its_request() {
    let backend = bind();
    let headers = "Idempotency-Key: k-1\r\nChivewheel-Attempt-Id: a-1\r\n\
                   Transfer-Encoding: chunked\r\n";
    let request_text = request("POST /book?x=1", headers) + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let (response, _) = receive(send(backend.address(), &request_text));
    let expected = echo("POST", "/book?x=1", Some("k-1"), b"abcde");
    assert_eq!(body(&response).as_bytes(), expected);
    assert_eq!(header(&response, "Chivewheel-Attempt-Id"), Some("a-1"));
    assert_eq!(header(&response, "X-Version"), Some("v1"));
    assert_eq!(
        header(&response, "Chivewheel-Start"),
        Some(&*backend.start_id())
    );
}

/// Checks the status, whether the body length matches `Content-Length`, how the connection ends and
/// how often the request was executed.
fn check(fault: Fault, status: &str, length_matches: bool, ends_with_reset: bool, executions: u64) {
    let backend = bind();
    backend.set_rules(vec![rule("/bad", 1.0, fault)]);
    let good = call(backend.address(), "GET /good", "");
    assert!(good.starts_with("HTTP/1.1 200 "), "{good}");

    let headers = "Idempotency-Key: k-1\r\n";
    let stream = send(backend.address(), &request("GET /bad", headers));
    let (response, was_reset) = receive(stream);
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    let length = header(&response, "Content-Length").and_then(|text| text.parse().ok());
    assert_eq!(
        length == Some(body(&response).len()),
        length_matches,
        "{response}"
    );
    assert_eq!(was_reset, ends_with_reset);
    assert_eq!(backend.executions("k-1"), executions);
}

const RESPONSE_DELAY: Duration = Duration::from_millis(80);

cases! {
    a_slow_response_is_complete => check(Fault::Slow(RESPONSE_DELAY), "200", true, false, 1);
    an_error_over_zero_is_executed => check(Fault::ErrorOver(0), "500", true, false, 1);
    an_error_over_one_spares_a_single_request => check(Fault::ErrorOver(1), "200", true, false, 1);
    an_error_is_executed => check(Fault::Error, "500", true, false, 1);
    a_shed_request_is_not_executed => check(Fault::Shed, "503", true, false, 0);
    a_delayed_response_is_complete => check(Fault::Delayed(RESPONSE_DELAY), "200", true, false, 1);
    a_short_body_is_too_short => check(Fault::ShortBody, "200", false, false, 1);
    a_long_body_is_too_long => check(Fault::LongBody, "200", false, false, 1);
    a_broken_chunk_has_no_length => check(Fault::BrokenChunk, "200", false, false, 1);
    a_mismatched_response_is_complete => check(Fault::Mismatched, "200", true, false, 1);
    a_reset_ends_the_connection => check(Fault::Reset, "200", false, true, 1);
}

#[test]
fn a_mismatched_response_belongs_to_another_request() {
    let backend = bind();
    backend.set_rules(vec![rule("/", 1.0, Fault::Mismatched)]);
    let response = call(
        backend.address(),
        "GET /mine",
        "Chivewheel-Attempt-Id: a-1\r\n",
    );
    assert_eq!(header(&response, "Chivewheel-Attempt-Id"), Some("crossed"));
    assert!(!body(&response).contains("/mine"));
}

#[test]
fn a_request_without_a_response_is_executed() {
    let backend = bind();
    backend.set_rules(vec![rule("/", 1.0, Fault::NoResponse)]);
    let stream = send(
        backend.address(),
        &request("GET /x", "Idempotency-Key: k\r\n"),
    );
    stream
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    assert_eq!(receive(stream), (String::new(), true));
    assert_eq!(backend.executions("k"), 1);
}

#[test]
fn a_share_of_the_requests_fails() {
    let backend = bind();
    backend.set_rules(vec![rule("/", 0.25, Fault::Error)]);
    let responses = (0..20).map(|_| call(backend.address(), "GET /x", ""));
    let failed = responses.filter(|response| response.starts_with("HTTP/1.1 500 "));
    assert_eq!(failed.count(), 5);
}

#[test]
fn a_request_with_the_crash_marker_crashes_the_server_which_restarts() {
    let backend = bind();
    let before = backend.start_id();
    let idle = TcpStream::connect(backend.address()).unwrap();
    call(backend.address(), "GET /x", "");
    let stream = send(
        backend.address(),
        &request("GET /x", "X-Note: a crash-mark\r\n"),
    );
    assert_eq!(receive(stream), (String::new(), true));
    assert_eq!(receive(idle), (String::new(), true));
    assert!(TcpStream::connect(backend.address()).is_err());

    let start = Instant::now();
    while TcpStream::connect(backend.address()).is_err() {
        assert!(start.elapsed() < Duration::from_secs(10));
        sleep(Duration::from_millis(10));
    }
    let response = call(backend.address(), "GET /x", "");
    assert_ne!(header(&response, "Chivewheel-Start"), Some(&*before));
    assert_eq!(backend.counts().crashes, 1);
}
