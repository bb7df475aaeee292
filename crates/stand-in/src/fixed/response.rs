//! Prepared bytes and how they are sent.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::End;

/// Bytes to send to a client, and what follows them.
#[derive(Clone, Debug)]
pub struct Response {
    bytes: Vec<u8>,
    end: End,
    pause: Duration,
    asks_for_body: bool,
}

impl Response {
    /// Returns a response of `bytes`, after which the connection ends with `end` at once.
    pub fn new<B>(bytes: B, end: End) -> Self
    where
        B: Into<Vec<u8>>,
    {
        Self {
            bytes: bytes.into(),
            end,
            pause: Duration::ZERO,
            asks_for_body: false,
        }
    }

    /// Waits for `pause` between the bytes and the end of the connection.
    #[must_use]
    pub fn with_pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// Asks for the body of the request before the bytes are sent (status 100).
    #[must_use]
    pub fn asking_for_body(self) -> Self {
        Self {
            asks_for_body: true,
            ..self
        }
    }

    /// Sends the bytes to the client at the other end of `stream`.
    pub(super) fn send(&self, mut stream: TcpStream) -> io::Result<()> {
        let length = read_head(&mut stream)?;
        if self.asks_for_body {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        stream.write_all(&self.bytes)?;
        self.end.perform(stream, length, self.pause)
    }
}

/// Reads the head of a request and returns the length of its body.
fn read_head(stream: &mut TcpStream) -> io::Result<usize> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    Ok(length.and_then(|l| l.trim().parse().ok()).unwrap_or(0))
}

/// Reads `length` bytes, or less if the client ends the connection.
pub(super) fn read(stream: &mut TcpStream, length: usize) -> io::Result<()> {
    let length = u64::try_from(length).unwrap_or(u64::MAX);
    io::copy(&mut stream.take(length), &mut io::sink())?;
    Ok(())
}
