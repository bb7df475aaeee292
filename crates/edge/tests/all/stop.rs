//! A planned stop.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::script::{Act, Backend, OK};
use crate::site::{exchange, status, Site};

const REQUEST: &str = "GET /safe/1 HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\n\r\n";

#[test]
fn requests_are_answered_until_the_connections_end() {
    let backend = Backend::spawn(&[Act::Say(OK)]);
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
    // One that came before the stop still asks, and is told that it is the last time.
    idle.write_all(REQUEST.as_bytes()).unwrap();
    let mut answer = String::new();
    idle.read_to_string(&mut answer).unwrap();
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(
        answer.to_lowercase().contains("connection: close"),
        "{answer}"
    );
    assert!(stopping.join().unwrap(), "all requests ended");
}
