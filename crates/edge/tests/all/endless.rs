//! Servers that send bytes without end.
//!
//! A server in trouble may send bytes that are no response, in a head or a body, until the instance
//! closes the connection. They must neither fill the instance's memory nor keep it from others.

use std::time::Duration;

use crate::cases;
use crate::script::{Action, Backend, OK};
use crate::site::{status, Site};

const HEAD: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nX-Pond: ";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A chunk of 64 bytes.
const CHUNK: &str = "40\r\npondpondpondpondpondpondpondpondpondpondpondpondpondpondpondpond\r\n";
const TO_CLOSE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\n\r\n";

/// Checks that a request is answered by the second server if it may repeat, and else fails without
/// delay.
fn check(path: &str, head: &'static str, part: &'static str, expected: u16) {
    let backends = Backend::pair(&[Action::Endless(head, part), Action::Respond(OK)]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let response = site.call("POST", path, "levels");
    assert_eq!(status(&response), expected, "{response}");
}

cases! {
    head_without_end => check("/safe/1", HEAD, "pond", 200);
    interim_responses_without_end => check("/safe/1", INTERIM, INTERIM, 200);
    chunks_without_end => check("/safe/1", CHUNKED, CHUNK, 200);
    body_to_close_without_end => check("/safe/1", TO_CLOSE, "pond", 200);
    head_without_end_unless_idempotent => check("/once/1", HEAD, "pond", 502);
    interim_responses_without_end_unless_idempotent => check("/once/1", INTERIM, INTERIM, 502);
    chunks_without_end_unless_idempotent => check("/once/1", CHUNKED, CHUNK, 502);
    body_to_close_without_end_unless_idempotent => check("/once/1", TO_CLOSE, "pond", 502);
}

/// The memory that the endless bodies took is available again, and other requests are answered
/// meanwhile.
#[test]
fn several_bodies_without_end_leave_others_alone() {
    let mut actions = vec![Action::Endless(CHUNKED, CHUNK); 6];
    actions.push(Action::Respond(OK));
    let backends = Backend::pair(&actions);
    let site = Site::open(&[&backends[0], &backends[1]]);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|_| scope.spawn(|| status(&site.call("POST", "/once/1", ""))))
            .collect();
        for caller in callers {
            assert_eq!(caller.join().unwrap(), 502);
        }
    });
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(status(&site.call("POST", "/once/1", "")), 200);
}
