//! Graceful shutdown.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::script::{Action, Backend, OK};
use crate::site::{call, exchange, status, Site, GRACE};

const REQUEST: &str = "GET /safe/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\n\r\n";

#[test]
fn open_connections_are_served_during_shutdown() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let (callers, ready) = (site.callers, site.ready);
    let mut idle = TcpStream::connect(callers).unwrap();
    let daemon = site.daemon;
    let stopping = std::thread::spawn(move || smol::block_on(daemon.stop()));
    while exchange(
        ready,
        "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    )
    .starts_with("HTTP/1.1 200")
    {
        std::thread::sleep(Duration::from_millis(5));
    }
    // A request on a connection opened before the shutdown is still served, and the response closes
    // the connection.
    idle.write_all(REQUEST.as_bytes()).unwrap();
    let mut response = String::new();
    idle.read_to_string(&mut response).unwrap();
    assert_eq!(status(&response), 200, "{response}");
    assert!(
        response.to_lowercase().contains("connection: close"),
        "{response}"
    );
    assert!(stopping.join().unwrap(), "all requests completed");
}

/// Guards against requests that are passed on late in the grace period and cut, without a response,
/// when the process exits.
#[test]
fn requests_that_may_outlast_the_shutdown_are_refused() {
    const SHORT: &str =
        "POST /once/2 HTTP/1.1\r\nHost: pond.example\r\nId: r2\r\nWait: 300\r\nContent-Length: 0\r\n\r\n";
    let backend = Backend::spawn(&[Action::Hang, Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let callers = site.callers;
    let daemon = site.daemon;
    let stopping = std::thread::spawn(move || smol::block_on(daemon.stop()));
    // Keeps the instance running until the last part of the grace period.
    std::thread::sleep(GRACE.mul_f64(0.28));
    let held = std::thread::spawn(move || call(callers, "POST", "/once/1", ""));
    std::thread::sleep(GRACE.mul_f64(0.14));
    let short = exchange(callers, SHORT);
    assert_eq!(status(&short), 200, "its deadline is before the exit");
    let long = call(callers, "POST", "/once/3", "");
    assert_eq!(status(&long), 503, "{long}");
    held.join().unwrap();
    stopping.join().unwrap();
    assert_eq!(backend.requests().len(), 2, "the refused request was sent");
}

/// Guards against requests of one instance that stops in calm, which arrive late in the grace period
/// on a connection that was opened before.
#[test]
fn request_whose_body_arrives_late_is_refused() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let callers = site.callers;
    let daemon = site.daemon;
    let stopping = std::thread::spawn(move || smol::block_on(daemon.stop()));
    std::thread::sleep(GRACE.mul_f64(0.34));
    let mut stream = TcpStream::connect(callers).unwrap();
    stream
        .write_all(
            b"POST /once/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\nContent-Length: 1\r\n\r\n",
        )
        .unwrap();
    std::thread::sleep(GRACE.mul_f64(0.1));
    stream.write_all(b"a").unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert_eq!(status(&response), 503, "{response}");
    assert!(stopping.join().unwrap(), "all connections ended");
    assert_eq!(backend.requests().len(), 0, "the refused request was sent");
}
