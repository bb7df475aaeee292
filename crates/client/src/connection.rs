//! HTTP/1.1 connections that carry one request at a time.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use smol::future::or;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::{socket, Error, Exchange, Limits, Memory, Reader, Received, Request, Response, Usage};

/// The status codes of HTTP (RFC 9110, section 15). A server in trouble may send others.
const STATUSES: std::ops::Range<u16> = 100..600;

/// The status with which a server changes to another protocol, for which no request here asks.
const SWITCHING_PROTOCOLS: u16 = 101;

const MAX_HEADERS: usize = 100;

/// How the length of a body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug)]
enum Framing {
    Empty,
    Length(usize),
    Chunked,
    /// The body ends when the connection is closed.
    Close,
}

/// The head of a response.
struct Head {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    framing: Framing,
    keeps_alive: bool,
    keep_alive_timeout: Option<Duration>,
}

/// What the response and those before it imply for the reuse of the connection.
struct Completion {
    framing: Framing,
    keeps_alive: bool,
    keep_alive_timeout: Option<Duration>,
    skipped_responses: usize,
}

/// The number of responses to other requests that are skipped before the connection is closed.
const MAX_SKIPPED_RESPONSES: usize = 4;

/// The number of interim responses (status 1xx) before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// The number of answered requests that a connection records before it is closed.
const MAX_ANSWERED: usize = 32;

/// The number of connections opened by this process.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// An HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    reader: Reader,
    usage: Usage,
    /// Digests of the requests recorded by [`Self::with_answered`].
    answered: Vec<u64>,
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
        socket::detect_dead_peer(&stream).map_err(Error::Connect)?;
        Ok(Self {
            reader: Reader::new(stream),
            usage: Usage {
                connection: OPENED.fetch_add(1, Ordering::Relaxed),
                requests: 0,
            },
            answered: Vec::new(),
        })
    }

    /// Counts the bodies of responses against `memory` while they are received.
    #[must_use]
    pub fn with_memory(self, memory: Memory) -> Self {
        Self {
            reader: self.reader.with_memory(memory),
            ..self
        }
    }

    /// Records that the request `id` has been answered on this connection and may nevertheless be
    /// sent again, as after a refusal. Returns `None`, and closes the connection, if there are too
    /// many such requests to record.
    #[must_use]
    pub fn with_answered(mut self, id: &str) -> Option<Self> {
        self.answered.push(digest(id));
        (self.answered.len() < MAX_ANSWERED).then_some(self)
    }

    /// Returns whether the request `id` has been answered on this connection. If it were sent again
    /// here, a late copy of that response could not be told from the next one.
    pub fn has_answered(&self, id: &str) -> bool {
        self.answered.contains(&digest(id))
    }

    /// Returns the number of the connection and how often it was used.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Counts the bytes that arrive from now on in `received`.
    #[must_use]
    pub fn with_received(mut self, received: &Received) -> Self {
        self.reader.count_in(received.clone());
        self
    }

    /// Makes the connection end by a reset when it is dropped, or when sent bytes remain unacknowledged
    /// for `timeout`. Bytes that were not delivered are then discarded, also if the process is paused.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`].
    pub fn with_reset_on_close(self, timeout: Duration) -> Result<Self, Error> {
        socket::reset_on_close(&self.reader.stream, timeout).map_err(Error::Connect)?;
        Ok(self)
    }

    /// Closes the connection without a reset.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if it is reset nevertheless.
    pub fn close(self) -> Result<(), Error> {
        socket::close_without_reset(&self.reader.stream).map_err(Error::Broken)
    }

    /// Returns whether the other side has neither closed the connection nor sent any bytes since
    /// the last response.
    pub async fn is_reusable(&mut self) -> bool {
        let mut byte = [0];
        smol::future::poll_once(self.reader.stream.read(&mut byte))
            .await
            .is_none()
    }

    /// Sends `request` and returns the complete response, with the connection if it can be reused.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Any [`Error`] except [`Error::Connect`]; the connection is closed.
    pub async fn exchange(
        self,
        request: &Request<'_>,
        limits: Limits,
    ) -> Result<(Response, Option<Self>), Error> {
        let exchange = self.exchange_matching(request, limits, |_| true).await?;
        if exchange.close_delimited {
            return Err(Error::Unframed);
        }
        if exchange.has_extra_bytes {
            return Err(Error::TrailingBytes);
        }
        Ok((exchange.response, exchange.connection))
    }

    /// Sends `request` and returns the first complete response for which `is_match` is true, that
    /// is, which belongs to `request`.
    ///
    /// The response may arrive before the request has been sent completely, may end with the
    /// connection, and may be followed by bytes that belong to no request; in these cases the
    /// connection is not returned. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::exchange`] except [`Error::Unframed`] and [`Error::TrailingBytes`].
    pub async fn exchange_matching<F>(
        mut self,
        request: &Request<'_>,
        limits: Limits,
        is_match: F,
    ) -> Result<Exchange, Error>
    where
        F: Fn(&Response) -> bool,
    {
        let bytes = request.encode()?;
        self.usage.requests = self.usage.requests.saturating_add(1);
        let mut writer = self.reader.stream.clone();
        let failure = self.reader.failure.clone();
        let mut sent = false;
        let writing = async {
            // The exchange goes on after an error: the other side may have responded before it
            // stopped reading the request. If it did not, reading fails.
            match writer.write_all(&bytes).await {
                Ok(()) => sent = true,
                Err(error) => failure.record(&error),
            }
            std::future::pending().await
        };
        let reading = self.read_matching(request.method, limits, is_match);
        let (response, completion) = or(reading, writing).await?;
        let close_delimited = matches!(completion.framing, Framing::Close);
        let has_extra_bytes = !self.reader.buffer.is_empty();
        let kept = sent
            && completion.keeps_alive
            && !close_delimited
            && !has_extra_bytes
            && completion.skipped_responses == 0;
        Ok(Exchange {
            response,
            close_delimited,
            has_extra_bytes,
            skipped_responses: completion.skipped_responses,
            keep_alive_timeout: completion.keep_alive_timeout,
            connection: kept.then_some(self),
        })
    }

    /// Reads responses up to the first for which `is_match` is true.
    async fn read_matching<F>(
        &mut self,
        method: &str,
        limits: Limits,
        is_match: F,
    ) -> Result<(Response, Completion), Error>
    where
        F: Fn(&Response) -> bool,
    {
        for skipped_responses in 0..=MAX_SKIPPED_RESPONSES {
            let head = self.read_final_head(method, limits).await?;
            let body = self.read_body(head.framing, limits).await?;
            let response = Response {
                status: head.status,
                headers: head.headers,
                body,
            };
            if is_match(&response) {
                let completion = Completion {
                    framing: head.framing,
                    keeps_alive: head.keeps_alive,
                    keep_alive_timeout: head.keep_alive_timeout,
                    skipped_responses,
                };
                return Ok((response, completion));
            }
            if !head.keeps_alive || matches!(head.framing, Framing::Close) {
                break;
            }
        }
        Err(Error::Mismatched)
    }

    /// Reads heads up to the first that is not an interim response (status 1xx).
    async fn read_final_head(&mut self, method: &str, limits: Limits) -> Result<Head, Error> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.read_head(method, limits).await?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
        Err(Error::Malformed)
    }

    async fn read_head(&mut self, method: &str, limits: Limits) -> Result<Head, Error> {
        loop {
            if let Some((head, length)) = parse_head(&self.reader.buffer, method)? {
                if length > limits.max_head_bytes {
                    return Err(Error::TooLarge {
                        limit: limits.max_head_bytes,
                    });
                }
                self.reader.buffer.drain(..length);
                return Ok(head);
            }
            if self.reader.buffer.len() > limits.max_head_bytes {
                return Err(Error::TooLarge {
                    limit: limits.max_head_bytes,
                });
            }
            if !self.reader.fill().await? {
                return Err(Error::Truncated { received: 0 });
            }
        }
    }

    async fn read_body(&mut self, framing: Framing, limits: Limits) -> Result<Vec<u8>, Error> {
        match framing {
            Framing::Empty => Ok(Vec::new()),
            Framing::Length(length) if length > limits.max_body_bytes => Err(Error::TooLarge {
                limit: limits.max_body_bytes,
            }),
            Framing::Length(length) => self.reader.read_exact(length).await,
            Framing::Chunked => self.reader.read_chunks(limits).await,
            Framing::Close => self.reader.read_to_close(limits).await,
        }
    }
}

/// Parses the head of a response to a request with `method`. Returns it with its length in bytes,
/// or `None` if it is incomplete.
fn parse_head(bytes: &[u8], method: &str) -> Result<Option<(Head, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed),
    };
    if !has_uniform_line_ends(&bytes[..length]) {
        return Err(Error::Malformed);
    }
    let status = response.code.ok_or(Error::Malformed)?;
    // Nothing says how such a response is framed, or that the rest of it belongs to the request.
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(Error::Malformed);
    }
    let framing = framing(response.headers, method, status)?;
    let keeps_alive = response.version == Some(1) && !has_token(response.headers, "close");
    let keep_alive_timeout = keep_alive_timeout(response.headers);
    let kept = response
        .headers
        .iter()
        .filter(|h| !Request::is_reserved_header(h.name) && !has_token(response.headers, h.name));
    let headers = kept
        .map(|h| (h.name.to_owned(), h.value.to_vec()))
        .collect();
    Ok(Some((
        Head {
            status,
            headers,
            framing,
            keeps_alive,
            keep_alive_timeout,
        },
        length,
    )))
}

/// Returns whether all lines of a head end with CRLF, or all with a line feed alone.
///
/// The parser takes both for the end of a line (RFC 9112, section 2.2), so a line feed at the start of
/// a field name would end the head, and the rest of the head would become the body.
fn has_uniform_line_ends(head: &[u8]) -> bool {
    let lines = head.split_inclusive(|byte| *byte == b'\n');
    let mut ends = lines.map(|line| line.ends_with(b"\r\n"));
    let first = ends.next();
    ends.all(|end| Some(end) == first)
}

/// Returns whether the `Connection` header lists `token`.
fn has_token(headers: &[httparse::Header<'_>], token: &str) -> bool {
    let values = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("connection"));
    let texts = values.filter_map(|h| std::str::from_utf8(h.value).ok());
    texts
        .flat_map(|text| text.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// Returns the timeout that the other side gives in the `Keep-Alive` header.
fn keep_alive_timeout(headers: &[httparse::Header<'_>]) -> Option<Duration> {
    let header = headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("keep-alive"))?;
    let text = std::str::from_utf8(header.value).ok()?;
    let mut fields = text.split(',').map(str::trim);
    let timeout = fields.find_map(|field| field.strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
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
            // Different lengths indicate that two responses were mixed up.
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
        (false, None) => Ok(Framing::Close),
    }
}

fn parse_length(value: &[u8]) -> Result<usize, Error> {
    let text = std::str::from_utf8(value).map_err(|_| Error::Malformed)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Error::Malformed);
    }
    text.parse().map_err(|_| Error::Malformed)
}

fn digest(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
