//! Pipelined requests.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases;
use crate::script::{header_value, read_body, read_head, spawn, Executions};
use crate::site::{status, Options, Site};

/// How long a server holds a request at most.
const HOLD_LIMIT: Duration = Duration::from_secs(20);

/// So large a body is not counted in the memory for bodies.
const LARGE_BODY_BYTES: usize = 60 * 1024;

/// Logs `begin ID` and `end ID` for each request, or `gone ID` if the instance closes the connection.
/// A request with `Until: EVENT` is held until that is in the log. The body of the response is large if
/// the request has `Large`.
fn serve(mut stream: TcpStream, log: &Mutex<Vec<String>>) {
    const PAUSE: Duration = Duration::from_millis(5);
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        read_body(&mut stream, &mut buffer, &head);
        if head.starts_with("GET /health ") {
            if stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .is_err()
            {
                return;
            }
            continue;
        }
        let id = header_value(&head, "id").unwrap_or_default();
        log.lock().unwrap().push(format!("begin {id}"));
        if let Some(event) = header_value(&head, "until") {
            let started = Instant::now();
            stream.set_read_timeout(Some(PAUSE)).unwrap();
            while !log.lock().unwrap().contains(&event) && started.elapsed() < HOLD_LIMIT {
                if matches!(stream.peek(&mut [0]), Ok(0)) {
                    log.lock().unwrap().push(format!("gone {id}"));
                    return;
                }
            }
            stream.set_read_timeout(None).unwrap();
        }
        let length = if header_value(&head, "large").is_some() {
            LARGE_BODY_BYTES
        } else {
            1
        };
        log.lock().unwrap().push(format!("end {id}"));
        let response = format!(
            "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: {length}\r\n\r\n{}",
            "x".repeat(length)
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Starts an instance with servers that share a log.
fn open() -> (Site, Executions) {
    let log = Executions::default();
    let addresses: Vec<SocketAddr> = (0..3)
        .map(|_| {
            let log = log.clone();
            spawn(move |stream, _| serve(stream, &log)).0
        })
        .collect();
    (Site::open_with(&addresses, Options::default()), log)
}

fn get(path: &str, id: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: pond.example\r\nId: {id}\r\n{headers}\r\n")
}

fn has(log: &Executions, event: &str) -> bool {
    log.lock().unwrap().iter().any(|e| e == event)
}

fn position(log: &Executions, event: &str) -> usize {
    let log = log.lock().unwrap();
    let found = log.iter().position(|e| e == event);
    found.unwrap_or_else(|| panic!("{event} is missing: {log:?}"))
}

/// Returns the value of a counter without labels.
fn metric(site: &Site, name: &str) -> Option<u64> {
    let text = site.metrics();
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let (_, value) = lines.find(|(n, _)| *n == name)?;
    value.trim().parse().ok()
}

fn send(site: &Site, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(site.callers).unwrap();
    stream.write_all(requests.concat().as_bytes()).unwrap();
    stream
}

/// Reads until the connection is closed. Returns the status and id of each response.
fn responses(mut stream: TcpStream) -> Vec<(u16, String)> {
    let mut bytes = Vec::new();
    // A reset ends the responses like a close.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    let heads = text.split("HTTP/1.1 ").skip(1);
    heads
        .map(|head| {
            let id = header_value(head, "id").unwrap_or_default();
            (status(&format!("HTTP/1.1 {head}")), id)
        })
        .collect()
}

fn expected(list: &[(u16, &str)]) -> Vec<(u16, String)> {
    list.iter().map(|(s, id)| (*s, (*id).to_owned())).collect()
}

const CLOSE: &str = "Connection: close\r\n";

/// Guards against requests that wait for the one before, and responses that overtake.
#[test]
fn later_requests_run_at_once_and_responses_keep_their_order() {
    let (site, log) = open();
    let stream = send(
        &site,
        &[
            get("/safe/1", "r1", "Until: end r3\r\n"),
            get("/safe/2", "r2", "Until: end r3\r\n"),
            get("/safe/3", "r3", CLOSE),
        ],
    );
    let all = expected(&[(200, "r1"), (200, "r2"), (200, "r3")]);
    assert_eq!(responses(stream), all);
    assert!(position(&log, "end r3") < position(&log, "end r1"));
    assert_eq!(metric(&site, "chivewheel_pipelined_total"), Some(2));
}

/// Guards against a request that is only noticed when the one before has its response, because it was
/// sent later.
#[test]
fn request_that_arrives_later_runs_at_once() {
    let (site, log) = open();
    let mut stream = send(&site, &[get("/safe/1", "r1", "Until: end r2\r\n")]);
    site.wait_until(|_| has(&log, "begin r1"));
    stream
        .write_all(get("/safe/2", "r2", CLOSE).as_bytes())
        .unwrap();
    assert_eq!(responses(stream), expected(&[(200, "r1"), (200, "r2")]));
}

/// Guards against requests that run behind one after which the connection is closed.
#[test]
fn requests_behind_one_that_asks_for_a_close_are_not_read() {
    let (site, log) = open();
    let stream = send(
        &site,
        &[
            get("/safe/1", "r1", "Until: end r2\r\n"),
            get("/safe/2", "r2", CLOSE),
            get("/safe/3", "r3", ""),
        ],
    );
    assert_eq!(responses(stream), expected(&[(200, "r1"), (200, "r2")]));
    assert_eq!(status(&site.call("GET", "/safe/4", "")), 200);
    assert!(!has(&log, "begin r3"));
}

/// Guards against requests that run on, or are passed on later, behind a response with which a stopping
/// instance closes the connection.
#[test]
fn requests_behind_a_close_are_cancelled() {
    let (site, log) = open();
    let stream = send(
        &site,
        &[
            get("/safe/1", "r1", "Until: go\r\n"),
            get("/safe/2", "r2", "Until: never\r\n"),
            get("/once/3", "r3", ""),
            get("/safe/4", "r4", ""),
        ],
    );
    site.wait_until(|_| has(&log, "begin r1") && has(&log, "begin r2"));
    let Site { daemon, ready, .. } = site;
    let stopping = thread::spawn(move || smol::block_on(daemon.stop()));
    let check = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    while crate::site::exchange(ready, check).starts_with("HTTP/1.1 200") {
        thread::sleep(Duration::from_millis(5));
    }
    log.lock().unwrap().push("go".to_owned());
    assert_eq!(responses(stream), expected(&[(200, "r1")]));
    // The server notices the closed connection soon after.
    let deadline = Instant::now() + HOLD_LIMIT / 2;
    while !has(&log, "gone r2") && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
    }
    stopping.join().unwrap();
    assert!(has(&log, "gone r2"));
    assert!(!has(&log, "begin r3") && !has(&log, "begin r4"));
}

/// Guards against requests of a caller that has left, which hold servers or are passed on later.
fn check_caller_leaves(leave: impl Fn(&TcpStream)) {
    let (site, log) = open();
    let stream = send(
        &site,
        &[
            get("/safe/1", "r1", "Until: never\r\n"),
            get("/safe/2", "r2", "Until: never\r\n"),
            get("/once/3", "r3", ""),
        ],
    );
    site.wait_until(|_| has(&log, "begin r1") && has(&log, "begin r2"));
    leave(&stream);
    site.wait_until(|_| has(&log, "gone r1") && has(&log, "gone r2"));
    assert_eq!(responses(stream), []);
    assert_eq!(status(&site.call("GET", "/safe/4", "")), 200);
    assert!(!has(&log, "begin r3"));
}

cases! {
    caller_closes => check_caller_leaves(|stream| stream.shutdown(Shutdown::Both).unwrap());
    caller_closes_for_writing => check_caller_leaves(|stream| stream.shutdown(Shutdown::Write).unwrap());
}

/// Guards against a non-idempotent request that is cut at a server when its caller leaves.
#[test]
fn non_idempotent_request_runs_to_completion() {
    let (site, log) = open();
    let stream = send(
        &site,
        &[
            get("/safe/1", "r1", ""),
            get("/once/2", "r2", "Until: go\r\n"),
            get("/safe/3", "r3", ""),
        ],
    );
    site.wait_until(|_| has(&log, "begin r2"));
    drop(stream);
    assert_eq!(status(&site.call("GET", "/safe/4", "")), 200);
    log.lock().unwrap().push("go".to_owned());
    site.wait_until(|_| has(&log, "end r2"));
    assert!(!has(&log, "gone r2") && !has(&log, "begin r3"));
}

/// Guards against a non-idempotent request that runs before the responses ahead of it are written, and
/// against requests that run ahead of its response.
#[test]
fn non_idempotent_request_runs_alone() {
    let (site, log) = open();
    let stream = send(
        &site,
        &[
            get("/safe/1", "r1", "Until: end r2\r\n"),
            get("/safe/2", "r2", ""),
            get("/once/3", "r3", ""),
            get("/safe/4", "r4", CLOSE),
        ],
    );
    let all = expected(&[(200, "r1"), (200, "r2"), (200, "r3"), (200, "r4")]);
    assert_eq!(responses(stream), all);
    assert!(position(&log, "end r1") < position(&log, "begin r3"));
    assert!(position(&log, "end r3") < position(&log, "begin r4"));
}

/// Guards against an instance that reads and runs requests without end for a caller that does not read
/// the responses, and against a connection that stays blocked when the caller reads on.
#[test]
fn caller_that_does_not_read_is_not_read() {
    // Their responses take more than the sockets of both sides buffer.
    const REQUESTS: usize = 600;
    let (site, log) = open();
    let stream = TcpStream::connect(site.callers).unwrap();
    let mut requests = String::new();
    for i in 1..=REQUESTS {
        let headers = if i == REQUESTS { CLOSE } else { "" };
        write!(
            requests,
            "{}",
            get(
                "/safe/1",
                &format!("r{i}"),
                &format!("Large: yes\r\n{headers}")
            )
        )
        .unwrap();
    }
    let mut writer = stream.try_clone().unwrap();
    let writing = thread::spawn(move || writer.write_all(requests.as_bytes()));
    // Long enough for an instance without a bound to pass on all requests.
    thread::sleep(Duration::from_secs(3));
    let begun = log
        .lock()
        .unwrap()
        .iter()
        .filter(|e| e.starts_with("begin"))
        .count();
    assert!(begun < REQUESTS, "all were passed on");
    let all = responses(stream);
    let served = all.iter().filter(|(status, _)| *status == 200).count();
    assert!(served > REQUESTS / 2, "{served} were served");
    let ids: Vec<String> = all.into_iter().map(|(_, id)| id).collect();
    let expected: Vec<String> = (1..=REQUESTS).map(|i| format!("r{i}")).collect();
    assert_eq!(ids, expected);
    writing.join().unwrap().unwrap();
}

/// Guards against a response to a request that cannot be read that overtakes earlier ones.
fn check_error(part: &str, error: u16) {
    let (site, log) = open();
    let stream = send(
        &site,
        &[get("/safe/1", "r1", "Until: go\r\n"), part.to_owned()],
    );
    site.wait_until(|_| has(&log, "begin r1"));
    // The head is cut after 300 ms.
    thread::sleep(Duration::from_millis(600));
    log.lock().unwrap().push("go".to_owned());
    assert_eq!(responses(stream), expected(&[(200, "r1"), (error, "")]));
}

cases! {
    request_that_stops_half_way => check_error("GET /safe/2 HTTP/1.1\r\nHost", 408);
    malformed_request => check_error("pond\r\n\r\nGET /safe/3 HTTP/1.1\r\n", 400);
    request_with_too_large_a_body =>
        check_error("POST /safe/2 HTTP/1.1\r\nHost: pond.example\r\nContent-Length: 70000\r\n\r\n", 413);
}

/// Guards against bodies of requests read ahead that are cut, or taken for the next request.
#[test]
fn bodies_are_read_ahead() {
    let (site, log) = open();
    let post = |path: &str, id: &str, rest: &str| {
        format!("POST {path} HTTP/1.1\r\nHost: pond.example\r\nId: {id}\r\n{rest}")
    };
    let stream = send(
        &site,
        &[
            post(
                "/safe/1",
                "r1",
                "Until: end r3\r\nContent-Length: 4\r\n\r\npond",
            ),
            post(
                "/safe/2",
                "r2",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            ),
            get("/safe/3", "r3", CLOSE),
        ],
    );
    let all = expected(&[(200, "r1"), (200, "r2"), (200, "r3")]);
    assert_eq!(responses(stream), all);
    assert!(has(&log, "end r2"));
}

/// Guards against `100 Continue` ahead of the response to an earlier request.
#[test]
fn interim_response_is_sent_in_turn() {
    let (site, log) = open();
    let head = "POST /safe/2 HTTP/1.1\r\nHost: pond.example\r\nId: r2\r\nExpect: 100-continue\r\n\
                Content-Length: 4\r\nConnection: close\r\n\r\n";
    let mut stream = send(
        &site,
        &[get("/safe/1", "r1", "Until: go\r\n"), head.to_owned()],
    );
    site.wait_until(|_| has(&log, "begin r1"));
    log.lock().unwrap().push("go".to_owned());
    let mut text = String::new();
    while !text.contains("100 Continue") {
        let mut part = [0; 512];
        let length = stream.read(&mut part).unwrap();
        assert!(length > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&part[..length]));
    }
    assert!(text.find("200 OK").unwrap() < text.find("100 Continue").unwrap());
    stream.write_all(b"pond").unwrap();
    assert_eq!(responses(stream), expected(&[(200, "r2")]));
}

/// Guards against requests at servers whose responses cannot be delivered in time behind a slow one.
#[test]
fn request_without_time_is_refused_in_its_turn() {
    let (site, log) = open();
    let stream = send(
        &site,
        &[
            get("/safe/1", "r1", "Until: go\r\n"),
            get("/safe/2", "r2", "Wait: 100\r\n"),
            get("/safe/3", "r3", CLOSE),
        ],
    );
    site.wait_until(|_| has(&log, "end r3"));
    log.lock().unwrap().push("go".to_owned());
    let all = expected(&[(200, "r1"), (503, "r2"), (200, "r3")]);
    assert_eq!(responses(stream), all);
    assert!(!has(&log, "begin r2"));
}

/// Guards against an empty line behind a request that is taken for the start of the next one, which then
/// times out while the first is handled, so that the connection is closed.
#[test]
fn empty_line_behind_a_request_is_ignored() {
    let (site, log) = open();
    let mut stream = send(
        &site,
        &[get("/safe/1", "r1", "Until: go\r\n"), "\r\n".to_owned()],
    );
    site.wait_until(|_| has(&log, "begin r1"));
    stream.write_all(b"\r\n").unwrap();
    // Longer than a head may take.
    thread::sleep(Duration::from_millis(600));
    log.lock().unwrap().push("go".to_owned());
    site.wait_until(|_| has(&log, "end r1"));
    stream
        .write_all(get("/safe/2", "r2", CLOSE).as_bytes())
        .unwrap();
    assert_eq!(responses(stream), expected(&[(200, "r1"), (200, "r2")]));
}
