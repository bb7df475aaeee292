//! Reads HTTP/1.1 requests (RFC 9112) from a connection.

use std::io;

use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// Maximum length of a request head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// An HTTP request.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Returns the value of the header `name`, ignoring case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the caller asks to close the connection after the response.
    pub(super) fn wants_close(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Returns the target without its query.
    pub(super) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query of the target.
    pub(super) fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Returns whether the target or a header value contains `marker`, or a header has it as its
    /// name.
    pub(super) fn contains(&self, marker: &str) -> bool {
        let in_header = |(name, value): &(String, String)| {
            name.eq_ignore_ascii_case(marker) || value.contains(marker)
        };
        self.target.contains(marker) || self.headers.iter().any(in_header)
    }

    fn parse_head(head: &str) -> Option<Self> {
        let mut lines = head.split("\r\n");
        let mut parts = lines.next()?.split(' ');
        let method = parts.next()?.to_owned();
        let target = parts.next()?.to_owned();
        let pairs = lines.map(|line| line.split_once(':'));
        let headers = pairs.map(|pair| {
            let (name, value) = pair?;
            Some((name.to_owned(), value.trim().to_owned()))
        });
        Some(Self {
            method,
            target,
            headers: headers.collect::<Option<_>>()?,
            body: Vec::new(),
        })
    }
}

/// Reads requests from a connection.
#[derive(Debug)]
pub(super) struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub(super) fn new(stream: TcpStream) -> Self {
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    /// Reads the next request, or returns `None` if the connection ended before a complete head.
    pub(super) async fn next(&mut self) -> io::Result<Option<Request>> {
        let Some(end) = self.read_head_length().await? else {
            return Ok(None);
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let text = std::str::from_utf8(&head).map_err(invalid)?;
        let parsed = Request::parse_head(text.trim_end_matches("\r\n"));
        let mut request = parsed.ok_or(io::ErrorKind::InvalidData)?;
        self.send_continue(&request).await?;
        request.body = self.read_body(&request).await?;
        Ok(Some(request))
    }

    /// Completes when the peer has closed the connection or a read fails.
    pub(super) async fn wait_closed(&mut self) {
        while let Ok(1..) = self.fill().await {}
    }

    /// Reads until the buffer starts with a complete head and returns its length, or `None` if the
    /// connection ends first.
    async fn read_head_length(&mut self) -> io::Result<Option<usize>> {
        loop {
            if let Some(start) = find(&self.buffer, b"\r\n\r\n") {
                return Ok(Some(start + 4));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Sends `100 Continue` if the request expects it.
    async fn send_continue(&mut self, request: &Request) -> io::Result<()> {
        use smol::io::AsyncWriteExt;
        if request.header("expect").is_none() {
            return Ok(());
        }
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        self.stream.write_all(interim).await
    }

    async fn read_body(&mut self, request: &Request) -> io::Result<Vec<u8>> {
        if request.header("transfer-encoding").is_some() {
            return self.read_chunks().await;
        }
        let length = request.header("content-length").unwrap_or("0");
        let length = length.parse::<usize>().map_err(invalid)?;
        self.read_bytes(length).await
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let size = line.split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size.trim(), 16).map_err(invalid)?;
            if size == 0 {
                while !self.read_line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_bytes(size).await?);
            if body.len() > MAX_BODY_BYTES || !self.read_line().await?.is_empty() {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return String::from_utf8(line[..end].to_vec()).map_err(invalid);
            }
            self.fill_or_eof().await?;
        }
    }

    async fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MAX_BODY_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        while self.buffer.len() < length {
            self.fill_or_eof().await?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn fill_or_eof(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let count = self.stream.read(&mut bytes).await?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn invalid<E>(_: E) -> io::Error {
    io::ErrorKind::InvalidData.into()
}
