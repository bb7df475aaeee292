//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target or the status.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// Why no message was read.
#[derive(Debug, PartialEq, Eq)]
pub enum End {
    /// The connection was closed or reset after this many bytes.
    Closed(usize),
    /// The read timeout of the socket passed.
    TimedOut,
}

/// Reads one message. `buffer` keeps bytes that follow it.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Message, End> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut message = Message {
                line: lines.next().unwrap_or_default().to_owned(),
                ..Message::default()
            };
            for line in lines {
                if let Some((name, value)) = line.split_once(':') {
                    message
                        .headers
                        .push((name.to_owned(), value.trim().to_owned()));
                }
            }
            let length = message
                .header("content-length")
                .and_then(|l| l.parse().ok());
            let total = end + 4 + length.unwrap_or(0);
            while buffer.len() < total {
                fill(stream, buffer)?;
            }
            message.body = buffer[end + 4..total].to_vec();
            buffer.drain(..total);
            return Ok(message);
        }
        fill(stream, buffer)?;
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<(), End> {
    let mut bytes = [0; 16 * 1024];
    match stream.read(&mut bytes) {
        Ok(0) => Err(End::Closed(buffer.len())),
        Ok(n) => {
            buffer.extend_from_slice(&bytes[..n]);
            Ok(())
        }
        Err(e)
            if matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            Err(End::TimedOut)
        }
        Err(_) => Err(End::Closed(buffer.len())),
    }
}

/// Writes a message with a body of known length.
pub fn write(stream: &mut TcpStream, line: &str, headers: &[(&str, String)], body: &[u8]) -> bool {
    let mut bytes = format!("{line}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
