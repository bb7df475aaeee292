//! Tests of health, load and the control APIs.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use stand_in::backend::{Backend, Config, Report};
use stand_in::platform::Platform;

use crate::tools::{bind, body, call, receive, request, send};

#[test]
fn health_reports_the_state_or_the_override() {
    let backend = bind();
    let health = || call(backend.address(), "GET /health", "")[9..12].to_owned();
    assert_eq!(health(), "200");
    backend.set_leaving(true);
    assert_eq!(health(), "503");
    backend.set_health(Some(true));
    assert_eq!(health(), "200");
    assert_eq!((backend.counts().probes, backend.counts().requests), (3, 0));
}

#[test]
fn the_load_report_lags() {
    let config = Config {
        report_lag: Duration::ZERO,
        service_time: Duration::from_millis(200),
        ..Config::default()
    };
    let backend = Backend::bind(config).unwrap();
    let report = || -> Report {
        let response = call(backend.address(), "GET /load", "");
        serde_json::from_str(body(&response)).unwrap()
    };
    report();
    let address = backend.address();
    let call_thread = std::thread::spawn(move || call(address, "GET /x", ""));
    while backend.counts().executions == 0 {
        sleep(Duration::from_millis(1));
    }
    assert_eq!(report().in_flight, 0);
    assert_eq!(report().in_flight, 1);
    call_thread.join().unwrap();
}

#[test]
fn executions_and_faults_are_available_over_http() {
    let backend = bind();
    let address = backend.address();
    let control = |line: &str| body(&call(address, line, "")).to_owned();
    assert_eq!(
        control("POST /control/fault?path=/a&kind=error&share=1"),
        "done\n"
    );
    assert_eq!(
        control("POST /control/fault?path=/a&kind=nonsense"),
        "bad request\n"
    );
    let response = call(address, "GET /a", "Idempotency-Key: a key\r\n");
    assert!(response.starts_with("HTTP/1.1 500 "), "{response}");
    assert_eq!(control("GET /control/executions?key=a%20key"), "1");
    assert_eq!(control("GET /control/executions"), r#"{"a key":1}"#);
    assert_eq!(control("POST /control/clear"), "done\n");
    assert!(call(address, "GET /a", "").starts_with("HTTP/1.1 200 "));
}

#[test]
fn a_shedding_server_executes_nothing() {
    let backend = bind();
    call(backend.address(), "POST /control/shedding?on=true", "");
    let response = call(backend.address(), "GET /x", "");
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("Chivewheel-Shed: 1"), "{response}");
    let counts = backend.counts();
    assert_eq!((counts.shed, counts.requests, counts.executions), (1, 1, 0));
}

#[test]
fn requests_over_the_rate_limit_wait_and_reads_do_not_wait_for_writes() {
    let platform = Platform::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = platform.address();
    call(address, "POST /control/rates?reads=0&writes=5", "");
    let write = "PUT /object?path=a&expected=none";
    let start = Instant::now();
    let writes: Vec<_> = (0..5).map(|_| send(address, &request(write, ""))).collect();
    for _ in 0..10 {
        call(address, "GET /object?path=b", "");
    }
    assert!(start.elapsed() < Duration::from_millis(800));
    writes.into_iter().for_each(|stream| drop(receive(stream)));
    assert!(start.elapsed() >= Duration::from_millis(800));
    assert_eq!(platform.counts().writes, 5);
}

#[test]
fn the_platform_accepts_control_requests() {
    let platform = Platform::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = platform.address();
    let status = |line: &str| call(address, line, "")[9..12].to_owned();
    assert_eq!(status("POST /control/outage?mode=nonsense&ms=1"), "400");
    assert_eq!(status("POST /control/outage?mode=refuse&ms=200"), "200");
    let start = Instant::now();
    let timeout = Duration::from_secs(10);
    while TcpStream::connect(address).is_ok() {
        assert!(start.elapsed() < timeout);
        sleep(Duration::from_millis(5));
    }
    while TcpStream::connect(address).is_err() {
        assert!(start.elapsed() < timeout);
        sleep(Duration::from_millis(5));
    }
    assert_eq!(status("GET /object?path=a"), "404");
    assert!(call(address, "GET /control/counts", "")
        .ends_with(r#"{"reads":1,"watches":0,"writes":0,"removes":0,"lists":0}"#));
}

#[test]
fn a_stalled_caller_does_not_block_a_stop() {
    let platform = Platform::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let write = request("PUT /object?path=a&expected=none", "Content-Length: 9\r\n");
    let _stalled = send(platform.address(), &write);
    while platform.counts().writes == 0 {
        sleep(Duration::from_millis(1));
    }
    let start = Instant::now();
    drop(platform);
    assert!(start.elapsed() < Duration::from_secs(5));
}
