//! Servers, callers and other instances that send bytes without end.
//!
//! A server in trouble may send bytes that are no response, in a head or a body, until the instance
//! closes the connection. They must neither fill the instance's memory nor keep it from others.

use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::cases;
use crate::script::{is_closed_while_writing, Action, Backend, OK};
use crate::site::{status, Site};

pub(crate) const HEAD: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nX-Pond: ";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
pub(crate) const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A chunk of 64 bytes.
pub(crate) const CHUNK: &str =
    "40\r\npondpondpondpondpondpondpondpondpondpondpondpondpondpondpondpond\r\n";
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

/// Guards against an instance that collects, in its memory, a body without end that arrives at one
/// of its ports for other instances and for checks.
fn is_rejected(port: impl Fn(&Site) -> SocketAddr, head: &str) {
    let backends = Backend::pair(&[Action::Respond(OK)]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let mut stream = TcpStream::connect(port(&site)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    assert!(is_closed_while_writing(&mut stream, CHUNK));
    assert_eq!(status(&site.call("POST", "/safe/1", "")), 200);
}

const TO_PEERS: &str = "POST /changes HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const TO_CHECK: &str = "GET /ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

cases! {
    body_without_end_from_another_instance => is_rejected(|site| site.peers, TO_PEERS);
    body_without_end_at_the_port_for_checks => is_rejected(|site| site.ready, TO_CHECK);
}

/// Calls the instance while `send` is repeated in several threads, each with what `open` returns.
fn is_served_beside<T>(site: &Site, open: impl Fn() -> T + Sync, send: impl Fn(&mut T) + Sync) {
    const SENDERS: usize = 4;
    // The senders keep other tests of this process waiting, too.
    const CALLS: usize = 2;
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..SENDERS {
            scope.spawn(|| {
                let mut sender = open();
                while !is_done.load(Ordering::Acquire) {
                    send(&mut sender);
                }
            });
        }
        // Lets the bytes arrive before the calls.
        thread::sleep(Duration::from_millis(100));
        let statuses = [(); CALLS].map(|()| site.try_call("POST", "/safe/1", ""));
        is_done.store(true, Ordering::Release);
        assert_eq!(statuses, [Some(200); CALLS]);
    });
}

/// Guards against an instance that reads on for a caller whose request it has refused, and handles
/// nothing else as long as there are bytes to read.
#[test]
fn refused_callers_that_send_without_end_leave_others_alone() {
    let backends = Backend::pair(&[Action::Respond(OK)]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let bytes = vec![b'x'; 256 * 1024];
    let open = || {
        let mut stream = TcpStream::connect(site.callers).unwrap();
        stream.write_all(b"no request\r\n\r\n").unwrap();
        stream
    };
    is_served_beside(&site, open, |stream| {
        if stream.write_all(&bytes).is_err() {
            *stream = open();
        }
    });
}

/// Guards against an instance that handles nothing else as long as there are datagrams to read.
#[test]
fn datagrams_without_end_leave_others_alone() {
    let backends = Backend::pair(&[Action::Respond(OK)]);
    let site = Site::open(&[&backends[0], &backends[1]]);
    let open = || {
        let socket = UdpSocket::bind((site.peers.ip(), 0)).unwrap();
        socket.connect(site.peers).unwrap();
        socket
    };
    is_served_beside(&site, open, |socket| {
        // A full buffer of the receiver is no error of the sender.
        let _ = socket.send(b"x");
    });
}

/// A server whose health endpoint sends bytes without end is used like one that does not respond to
/// probes, and requests go on.
#[test]
fn probe_responses_without_end_leave_others_alone() {
    const REQUESTS: usize = 20;
    const PROBES: usize = 3;
    let endless = Backend::with_health(Action::Endless(CHUNKED, CHUNK));
    let sound = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&endless, &sound]);
    site.wait_until(|site| {
        assert_eq!(status(&site.call("POST", "/safe/1", "")), 200);
        endless.probes() >= PROBES
    });
    for _ in 0..REQUESTS {
        assert_eq!(status(&site.call("POST", "/safe/1", "")), 200);
    }
}

/// Bytes that follow a response belong to no request: they fail none, as the connection is not used
/// again, or its request is sent to the other server.
#[test]
fn bytes_without_end_after_a_response_are_ignored() {
    const REQUESTS: usize = 20;
    let endless = Backend::spawn(&[Action::Endless(OK, "pond")]);
    let sound = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&endless, &sound]);
    for _ in 0..REQUESTS {
        assert_eq!(status(&site.call("POST", "/safe/1", "")), 200);
    }
    assert!(!endless.requests().is_empty());
}
