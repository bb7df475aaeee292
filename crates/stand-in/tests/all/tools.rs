//! A test client on plain sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use stand_in::backend::{Backend, Config};

/// How long a test waits for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) fn bind() -> Backend {
    Backend::bind(Config::default()).unwrap()
}

pub(crate) fn send(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Returns a request that asks to close the connection. Each line of `headers` ends with CRLF.
pub(crate) fn request(line: &str, headers: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n{headers}\r\n")
}

/// Reads until the connection ends. Returns the response and whether the read failed, because of a
/// reset or a timeout.
pub(crate) fn receive(mut stream: TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes);
    let response = String::from_utf8(bytes).unwrap();
    (response, ended.is_err())
}

pub(crate) fn call(address: SocketAddr, line: &str, headers: &str) -> String {
    let (response, was_reset) = receive(send(address, &request(line, headers)));
    assert!(!was_reset);
    response
}

pub(crate) fn header<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = response.split("\r\n");
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

pub(crate) fn body(response: &str) -> &str {
    response.split_once("\r\n\r\n").unwrap().1
}
