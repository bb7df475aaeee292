//! Graceful shutdown.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::script::{Action, Backend, OK};
use crate::site::{exchange, status, Site};

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
