//! What callers may send.

use crate::cases;
use crate::script::{Act, Backend, OK};
use crate::site::{exchange, status, Site};

/// Checks the status of an answer to `request`, none of which reaches a server unless it is 200.
fn answered(request: &str, expected: u16) {
    let backend = Backend::spawn(&[Act::Say(OK)]);
    let site = Site::open(&[&backend]);
    let answer = exchange(site.callers, request);
    assert_eq!(status(&answer), expected, "{answer}");
    assert_eq!(backend.requests().len(), usize::from(expected == 200));
}

fn post(headers: &str, body: &str) -> String {
    format!("POST /safe/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\n{headers}\r\n{body}")
}

cases! {
    chunks => answered(&post("Transfer-Encoding: chunked\r\nConnection: close\r\n", "3\r\nabc\r\n0\r\n\r\n"), 200);
    absolute_target => answered("GET http://pond.example/safe/1 HTTP/1.1\r\nHost: x\r\nId: r1\r\nConnection: close\r\n\r\n", 200);
    old_version => answered("GET /safe/1 HTTP/1.0\r\nHost: pond.example\r\nId: r1\r\n\r\n", 200);
    large_head => answered(&post(&format!("Pad: {}\r\n", "x".repeat(4000)), ""), 431);
    large_body => answered(&post("Content-Length: 70000\r\n", ""), 413);
    large_chunk => answered(&post("Transfer-Encoding: chunked\r\n", "1fffff\r\nabc"), 413);
    slow_head => answered("POST /safe/1 HTTP/1.1\r\nHost: pond", 408);
    two_framings => answered(&post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc"), 400);
    two_lengths => answered(&post("Content-Length: 3\r\nContent-Length: 4\r\n", "abc"), 400);
    bad_chunk => answered(&post("Transfer-Encoding: chunked\r\n", "zz\r\nabc"), 400);
    two_hosts => answered(&post("Host: moor.example\r\n", ""), 400);
    no_http => answered("pond\r\n\r\n", 400);
    unknown_route => answered("GET /other/ HTTP/1.1\r\nHost: pond.example\r\nConnection: close\r\n\r\n", 404);
    unknown_host => answered("GET /safe/1 HTTP/1.1\r\nHost: moor.example\r\nConnection: close\r\n\r\n", 404);
}

#[test]
fn requests_follow_each_other_on_a_connection() {
    let backend = Backend::spawn(&[Act::Say(OK)]);
    let site = Site::open(&[&backend]);
    let first = "GET /safe/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\n\r\n";
    let last = "GET /safe/2 HTTP/1.1\r\nHost: pond.example\r\nId: r2\r\nConnection: close\r\n\r\n";
    let answer = exchange(site.callers, &format!("{first}{last}"));
    assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 2, "{answer}");
    assert!(answer.find("r1").unwrap() < answer.find("r2").unwrap());
}
