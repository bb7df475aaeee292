//! Limits and validation of callers' requests.

use std::io::{Read, Write};
use std::net::TcpStream;

use balance::record::{Kind, Record};

use crate::cases;
use crate::script::{Action, Backend, OK};
use crate::site::{config, exchange, status, Site};

/// Checks the status of the response to `request`, which reaches a server only if the status is
/// 200.
fn check_status(request: &str, expected: u16) {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let response = exchange(site.callers, request);
    assert_eq!(status(&response), expected, "{response}");
    assert_eq!(backend.requests().len(), usize::from(expected == 200));
}

fn post(headers: &str, body: &str) -> String {
    format!("POST /safe/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\n{headers}\r\n{body}")
}

cases! {
    chunked_body =>
        check_status(&post("Transfer-Encoding: chunked\r\nConnection: close\r\n", "3\r\nabc\r\n0\r\n\r\n"), 200);
    absolute_target =>
        check_status("GET http://pond.example/safe/1 HTTP/1.1\r\nHost: x\r\nId: r1\r\nConnection: close\r\n\r\n", 200);
    http_1_0 => check_status("GET /safe/1 HTTP/1.0\r\nHost: pond.example\r\nId: r1\r\n\r\n", 200);
    large_head => check_status(&post(&format!("Pad: {}\r\n", "x".repeat(4000)), ""), 431);
    large_body => check_status(&post("Content-Length: 70000\r\n", ""), 413);
    large_chunk => check_status(&post("Transfer-Encoding: chunked\r\n", "1fffff\r\nabc"), 413);
    slow_head => check_status("POST /safe/1 HTTP/1.1\r\nHost: pond", 408);
    two_framings =>
        check_status(&post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc"), 400);
    two_lengths => check_status(&post("Content-Length: 3\r\nContent-Length: 4\r\n", "abc"), 400);
    bad_chunk => check_status(&post("Transfer-Encoding: chunked\r\n", "zz\r\nabc"), 400);
    two_hosts => check_status(&post("Host: moor.example\r\n", ""), 400);
    not_http => check_status("pond\r\n\r\n", 400);
    unknown_route =>
        check_status("GET /other/ HTTP/1.1\r\nHost: pond.example\r\nConnection: close\r\n\r\n", 404);
    unknown_host =>
        check_status("GET /safe/1 HTTP/1.1\r\nHost: moor.example\r\nConnection: close\r\n\r\n", 404);
}

#[test]
fn pipelined_requests_are_served_in_order() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let first = "GET /safe/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\n\r\n";
    let last = "GET /safe/2 HTTP/1.1\r\nHost: pond.example\r\nId: r2\r\nConnection: close\r\n\r\n";
    let response = exchange(site.callers, &format!("{first}{last}"));
    assert_eq!(response.matches("HTTP/1.1 200 OK").count(), 2, "{response}");
    assert!(response.find("r1").unwrap() < response.find("r2").unwrap());
}

/// Guards against requests on a kept connection that are judged by the limits of the configuration
/// that was in force before.
#[test]
fn kept_connection_has_the_limits_of_the_configuration_in_force() {
    const LENGTH: usize = 70_000;
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let mut kept = TcpStream::connect(site.callers).unwrap();
    kept.write_all(post("Content-Length: 1\r\n", "a").as_bytes())
        .unwrap();
    let mut response = [0; OK.len()];
    let length = kept.read(&mut response).unwrap();
    assert_eq!(status(&String::from_utf8_lossy(&response[..length])), 200);
    let Record::Config(mut larger) = config(9) else {
        unreachable!("it is a configuration");
    };
    larger.limits.max_body_bytes = LENGTH;
    site.store
        .put(Kind::Config, "main", Some(Record::Config(larger)));
    let body = "a".repeat(LENGTH);
    site.wait_until(|site| status(&site.call("POST", "/safe/1", &body)) == 200);
    let headers = format!("Content-Length: {LENGTH}\r\nConnection: close\r\n");
    kept.write_all(post(&headers, &body).as_bytes()).unwrap();
    let mut response = String::new();
    kept.read_to_string(&mut response).unwrap();
    assert_eq!(status(&response), 200, "{response}");
}
