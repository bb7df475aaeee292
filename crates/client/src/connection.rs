//! A connection that carries one request at a time.

use std::net::SocketAddr;

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::{Answer, Error, Limits, Request};

const MAX_HEADERS: usize = 100;
const READ_SIZE: usize = 8 * 1024;

/// How the end of a body is found (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug)]
enum Framing {
    Empty,
    Length(usize),
    Chunked,
}

/// The head of an answer.
struct Head {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    framing: Framing,
    keeps_alive: bool,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes received and not yet parsed.
    buffer: Vec<u8>,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`].
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Returns whether the other side has neither closed the connection nor sent anything.
    pub async fn is_quiet(&mut self) -> bool {
        let mut byte = [0];
        smol::future::poll_once(self.stream.read(&mut byte))
            .await
            .is_none()
    }

    /// Sends `request` and returns the whole answer, with the connection if it can carry another.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::Connect`]; the connection is closed.
    pub async fn exchange(
        mut self,
        request: &Request<'_>,
        limits: Limits,
    ) -> Result<(Answer, Option<Self>), Error> {
        let bytes = request.encode()?;
        self.stream.write_all(&bytes).await.map_err(Error::Broken)?;
        let head = self.read_final_head(request.method, limits).await?;
        let body = self.read_body(head.framing, limits).await?;
        if !self.buffer.is_empty() {
            return Err(Error::Overlong);
        }
        let answer = Answer {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((answer, head.keeps_alive.then_some(self)))
    }

    /// Reads more bytes, and returns whether there were any.
    async fn fill(&mut self) -> Result<bool, Error> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_SIZE, 0);
        let read = self.stream.read(&mut self.buffer[start..]).await;
        self.buffer.truncate(start + *read.as_ref().unwrap_or(&0));
        read.map(|n| n > 0).map_err(Error::Broken)
    }

    /// Reads heads until one that is not interim (status 1xx).
    async fn read_final_head(&mut self, method: &str, limits: Limits) -> Result<Head, Error> {
        loop {
            let head = self.read_head(method, limits).await?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    async fn read_head(&mut self, method: &str, limits: Limits) -> Result<Head, Error> {
        loop {
            if let Some((head, length)) = parse_head(&self.buffer, method)? {
                if length > limits.head {
                    return Err(Error::TooLarge { limit: limits.head });
                }
                self.buffer.drain(..length);
                return Ok(head);
            }
            if self.buffer.len() > limits.head {
                return Err(Error::TooLarge { limit: limits.head });
            }
            if !self.fill().await? {
                return Err(Error::Short { received: 0 });
            }
        }
    }

    async fn read_body(&mut self, framing: Framing, limits: Limits) -> Result<Vec<u8>, Error> {
        match framing {
            Framing::Empty => Ok(Vec::new()),
            Framing::Length(length) if length > limits.body => {
                Err(Error::TooLarge { limit: limits.body })
            }
            Framing::Length(length) => self.read_exact(length, 0).await,
            Framing::Chunked => self.read_chunks(limits).await,
        }
    }

    /// Reads `length` bytes that follow `before` bytes of the body.
    async fn read_exact(&mut self, length: usize, before: usize) -> Result<Vec<u8>, Error> {
        while self.buffer.len() < length {
            if !self.fill().await? {
                return Err(Error::Short {
                    received: before + self.buffer.len(),
                });
            }
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn read_chunks(&mut self, limits: Limits) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size(body.len()).await?;
            if size == 0 {
                self.read_trailers(limits, body.len()).await?;
                return Ok(body);
            }
            if body.len().saturating_add(size) > limits.body {
                return Err(Error::TooLarge { limit: limits.body });
            }
            let chunk = self.read_exact(size, body.len()).await?;
            body.extend(chunk);
            if self.read_exact(2, body.len()).await? != b"\r\n" {
                return Err(Error::Malformed);
            }
        }
    }

    async fn read_chunk_size(&mut self, received: usize) -> Result<usize, Error> {
        const MAX_LINE: usize = 1024;
        loop {
            // The parser takes a line without a digit for the last chunk, which would pass a cut
            // body on as a whole one.
            if self.buffer.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
                return Err(Error::Malformed);
            }
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.drain(..length);
                    return usize::try_from(size).map_err(|_| Error::Malformed);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_LINE => {}
                _ => return Err(Error::Malformed),
            }
            if !self.fill().await? {
                return Err(Error::Short { received });
            }
        }
    }

    /// Reads the trailers behind the last chunk and drops them.
    async fn read_trailers(&mut self, limits: Limits, received: usize) -> Result<(), Error> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            match httparse::parse_headers(&self.buffer, &mut headers) {
                Ok(httparse::Status::Complete((length, _))) => {
                    self.buffer.drain(..length);
                    return Ok(());
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= limits.head => {}
                _ => return Err(Error::Malformed),
            }
            if !self.fill().await? {
                return Err(Error::Short { received });
            }
        }
    }
}

/// Parses the head of an answer to `method`, and returns it with its length in bytes.
fn parse_head(bytes: &[u8], method: &str) -> Result<Option<(Head, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed),
    };
    let status = response.code.ok_or(Error::Malformed)?;
    let framing = framing(response.headers, method, status)?;
    let keeps_alive = response.version == Some(1) && !has_token(response.headers, "close");
    let kept = response
        .headers
        .iter()
        .filter(|h| !Request::is_own_header(h.name) && !has_token(response.headers, h.name));
    let headers = kept
        .map(|h| (h.name.to_owned(), h.value.to_vec()))
        .collect();
    Ok(Some((
        Head {
            status,
            headers,
            framing,
            keeps_alive,
        },
        length,
    )))
}

fn has_token(headers: &[httparse::Header<'_>], token: &str) -> bool {
    let values = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("connection"));
    let texts = values.filter_map(|h| std::str::from_utf8(h.value).ok());
    texts
        .flat_map(|text| text.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case(token))
}

fn framing(headers: &[httparse::Header<'_>], method: &str, status: u16) -> Result<Framing, Error> {
    if method == "HEAD" || status < 200 || status == 204 || status == 304 {
        return Ok(Framing::Empty);
    }
    let mut length = None;
    let mut chunked = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Malformed);
            }
            chunked = true;
        } else if header.name.eq_ignore_ascii_case("content-length") {
            let value = parse_length(header.value)?;
            // Two lengths that differ are a sign of a crossed answer.
            if length.is_some_and(|other| other != value) {
                return Err(Error::Malformed);
            }
            length = Some(value);
        }
    }
    match (chunked, length) {
        (true, Some(_)) => Err(Error::Malformed),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Err(Error::Unframed),
    }
}

fn parse_length(value: &[u8]) -> Result<usize, Error> {
    let text = std::str::from_utf8(value).map_err(|_| Error::Malformed)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Error::Malformed);
    }
    text.parse().map_err(|_| Error::Malformed)
}
