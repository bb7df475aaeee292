//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, Write};

/// A request or response. The first line is split at its first two spaces.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: [String; 3],
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

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.line[1].parse().unwrap_or(0)
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads the head of a message. Returns `None` if the connection ends before its first byte.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message::default();
    for (part, text) in message.line.iter_mut().zip(line.trim_end().splitn(3, ' ')) {
        *part = text.to_owned();
    }
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head ends early"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("no colon"))?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body that the head announces: none, a length, or chunks.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message) -> io::Result<()> {
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid("length"))?;
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    while is_chunked {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim_end(), 16).map_err(|_| invalid("chunk"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            break;
        }
        message.body.extend_from_slice(&chunk[..size]);
    }
    Ok(())
}

/// Reads a whole message. Returns `None` if the connection ends before its first byte.
pub fn read<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond<W: Write>(
    writer: &mut W,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}
