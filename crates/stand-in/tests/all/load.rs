//! Tests of slots, cold starts, deadlines, cancellation and connection limits.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use stand_in::backend::{Backend, Config, Fault, Rule, Warmup};

use crate::tools::{call, header, receive, request, send};

const SERVICE_TIME: Duration = Duration::from_millis(60);

fn bind(slots: usize, cold_requests: u64) -> Backend {
    let config = Config {
        slots,
        service_time: SERVICE_TIME,
        warmup: Warmup {
            requests: cold_requests,
            time: Duration::ZERO,
            factor: 2.0,
        },
        ..Config::default()
    };
    Backend::bind(config).unwrap()
}

fn send_all(backend: &Backend, requests: usize) -> Vec<TcpStream> {
    let send = |_| send(backend.address(), &request("GET /x", ""));
    (0..requests).map(send).collect()
}

fn wait_for(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn requests_over_the_slots_queue_and_are_counted() {
    let backend = bind(2, 0);
    let start = Instant::now();
    for stream in send_all(&backend, 3) {
        assert!(receive(stream).0.starts_with("HTTP/1.1 200 "));
    }
    assert!(start.elapsed() >= SERVICE_TIME * 2);
    let counts = backend.counts();
    assert_eq!(
        (counts.over_slots, counts.most_in_flight, counts.over_cold),
        (1, 3, 0)
    );
}

#[test]
fn a_cold_server_handles_one_request_at_a_time_and_warms_up() {
    let backend = bind(4, 3);
    let start = Instant::now();
    call(backend.address(), "GET /x", "");
    assert!(start.elapsed() >= SERVICE_TIME * 2);
    assert_eq!(backend.counts().over_cold, 0);
    send_all(&backend, 2)
        .into_iter()
        .for_each(|stream| drop(receive(stream)));
    assert_eq!(backend.counts().over_cold, 1);
    send_all(&backend, 2)
        .into_iter()
        .for_each(|stream| drop(receive(stream)));
    assert_eq!(backend.counts().over_cold, 1);

    let before = backend.start_id();
    backend.restart_cold();
    assert_ne!(backend.start_id(), before);
    send_all(&backend, 2)
        .into_iter()
        .for_each(|stream| drop(receive(stream)));
    assert_eq!(backend.counts().over_cold, 2);
}

#[test]
fn a_request_that_is_cancelled_in_the_queue_is_not_executed() {
    let backend = bind(1, 0);
    let first = send_all(&backend, 1);
    wait_for(|| backend.counts().executions == 1);
    let second = send(
        backend.address(),
        &request("GET /x", "Idempotency-Key: k\r\n"),
    );
    wait_for(|| backend.counts().requests == 2);
    drop(second);
    wait_for(|| backend.counts().cancelled == 1);
    first.into_iter().for_each(|stream| drop(receive(stream)));
    call(backend.address(), "GET /x", "");
    assert_eq!(backend.executions("k"), 0);
}

#[test]
fn a_request_ends_at_its_deadline() {
    let backend = bind(1, 0);
    let _first = send_all(&backend, 1);
    wait_for(|| backend.counts().executions == 1);
    let headers = "Idempotency-Key: k\r\nChivewheel-Deadline-Ms: 20\r\n";
    let response = call(backend.address(), "GET /x", headers);
    assert!(response.starts_with("HTTP/1.1 504 "), "{response}");
    assert_eq!((backend.counts().late, backend.executions("k")), (1, 0));
}

#[test]
fn a_slow_server_takes_longer() {
    let backend = bind(4, 0);
    backend.set_slowdown(3.0);
    let start = Instant::now();
    call(backend.address(), "GET /x", "");
    assert!(start.elapsed() >= SERVICE_TIME * 3);
}

#[test]
fn requests_to_a_leaving_server_are_counted_and_marked() {
    let backend = bind(4, 0);
    backend.set_leaving(true);
    let response = call(backend.address(), "GET /x", "");
    assert_eq!(header(&response, "Chivewheel-Leaving"), Some("1"));
    assert_eq!(header(&response, "Connection"), Some("close"));
    assert_eq!(backend.counts().after_leaving, 1);
}

#[test]
fn connections_over_the_limit_are_closed() {
    let config = Config {
        max_connections: 1,
        ..Config::default()
    };
    let backend = Backend::bind(config).unwrap();
    let _open = TcpStream::connect(backend.address()).unwrap();
    wait_for(|| backend.counts().connections == 1);
    let second = TcpStream::connect(backend.address()).unwrap();
    assert_eq!(receive(second).0, "");
    assert_eq!(backend.counts().refused_connections, 1);
}

/// Checks whether a request waits for the only slot while another request has `fault`.
fn check_slot(fault: Fault, queues: bool) {
    let backend = bind(1, 0);
    backend.set_rules(vec![Rule {
        path_prefix: "/slow".to_owned(),
        share: 1.0,
        fault,
    }]);
    let slow = send(backend.address(), &request("GET /slow", ""));
    wait_for(|| backend.counts().executions == 1);
    let start = Instant::now();
    call(backend.address(), "GET /x", "");
    assert_eq!(start.elapsed() >= DELAY, queues);
    receive(slow);
}

const DELAY: Duration = Duration::from_millis(600);

cases! {
    a_slow_request_keeps_its_slot => check_slot(Fault::Slow(DELAY), true);
    a_delayed_response_frees_its_slot => check_slot(Fault::Delayed(DELAY), false);
}

#[test]
fn connections_and_probes_take_time_and_a_probe_takes_a_slot() {
    let (connect_delay, probe_time) = (Duration::from_millis(20), Duration::from_millis(300));
    let config = Config {
        slots: 1,
        connect_delay,
        probe_time,
        ..Config::default()
    };
    let backend = Backend::bind(config).unwrap();
    let start = Instant::now();
    call(backend.address(), "GET /health", "");
    assert!(start.elapsed() >= connect_delay + probe_time);
    let probe = send(backend.address(), &request("GET /load", ""));
    wait_for(|| backend.counts().probes == 2);
    call(backend.address(), "GET /x", "");
    assert_eq!(backend.counts().over_slots, 1);
    receive(probe);
}
