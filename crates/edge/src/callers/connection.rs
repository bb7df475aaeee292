//! A connection of a caller.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use balance::config::Limits;
use balance::pipeline::Pipeline;
use client::Reader;
use clock::Clock;
use smol::channel::Receiver;
use smol::future::or;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use zeroize::Zeroize;

use super::disconnect::Disconnect;
use super::error::Error;
use super::exchanges::{End, Exchanges, Incoming, Step};
use super::request::{self, Framing, Head};
use super::response::Response;
use crate::forward::{self, Forecast};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// What a request that is read ahead counts beside its body: what its handling takes, and what is not
/// counted of other messages. A connection may have several, so that they are no small matter.
const AHEAD_BYTES: usize = 24 * 1024;

/// How long the rest of a rejected request is read and discarded, so that the caller can read the
/// response before the connection is reset.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// What arrives from a caller.
enum Arrival {
    Bytes,
    /// The caller has closed the connection, at least for writing.
    End,
}

/// What happens first after a request has been read.
enum First {
    Responded(Response),
    /// The caller has closed the connection.
    Left,
    /// The caller sends another request.
    More,
}

impl From<Arrival> for First {
    fn from(arrival: Arrival) -> Self {
        match arrival {
            Arrival::Bytes => Self::More,
            Arrival::End => Self::Left,
        }
    }
}

/// How the handling of pipelined requests ends.
enum Pipelined {
    /// All responses have been written.
    Idle,
    /// A response that closes the connection has been written.
    Closed,
    /// The connection ended.
    Ended(End),
}

impl<T> Step<T> {
    /// Returns the output of the future if the connection has not ended.
    fn ended(self) -> Result<Option<T>, Pipelined> {
        match self {
            Self::Until(output) => Ok(Some(output)),
            Self::Holds => Ok(None),
            Self::Closed => Err(Pipelined::Closed),
            Self::Failed => Err(Pipelined::Ended(End::WriteFailed)),
        }
    }
}

/// A connection of a caller.
pub(super) struct Connection<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node: Arc<Node<S, H, C>>,
    reader: Reader,
    /// Closed when idle connections are to be closed.
    closing: Receiver<()>,
}

impl<S, H, C> Connection<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    pub(super) fn new(node: Arc<Node<S, H, C>>, stream: TcpStream, closing: Receiver<()>) -> Self {
        Self {
            reader: Reader::new(stream).with_memory(node.body_memory.clone()),
            node,
            closing,
        }
    }

    /// Handles requests until the connection ends.
    pub(super) async fn run(mut self) {
        loop {
            if let Err(error) = self.wait_for_request().await {
                return self.refuse(error).await;
            }
            let limits = self.limits();
            let incoming = match self.read_request(&limits).await {
                Ok(incoming) => incoming,
                Err(error) => return self.refuse(error).await,
            };
            let entry = incoming.entry();
            let method = incoming.request.method.clone();
            let disconnect = Arc::<Disconnect>::default();
            let mut handling = Box::pin(handle(self.node.clone(), incoming, disconnect.clone()));
            // What follows a request that asks for a close is not read.
            let may_have_more = !entry.closes;
            remove_empty_lines(&mut self.reader.buffer);
            let is_pipelined = may_have_more && !self.reader.buffer.is_empty();
            let first = if is_pipelined {
                First::More
            } else {
                let responded = async { First::Responded(handling.as_mut().await) };
                let arrival = arrival(self.reader.stream.clone(), may_have_more);
                or(responded, async { arrival.await.into() }).await
            };
            match first {
                First::Responded(response) => {
                    let close = entry.closes || self.node.is_stopping();
                    // A caller that does not read keeps the response in memory. If there is none for it, the
                    // connection ends.
                    let Ok(_memory) = self.node.body_memory.reserve(response.size()) else {
                        return self.node.metrics.refusal("no memory for the response");
                    };
                    let bytes = response.encode(&method, close);
                    drop(response);
                    if !self.write(&bytes, limits.idle_timeout).await {
                        return;
                    }
                    if close {
                        return self.drain().await;
                    }
                }
                First::Left => {
                    self.node.metrics.refusal("caller left");
                    disconnect.set_disconnected();
                    if disconnect.must_finish() {
                        handling.await;
                    }
                    return;
                }
                First::More => {
                    let stream = self.reader.stream.clone();
                    let mut exchanges =
                        Exchanges::new(self.node.clone(), stream, handle, write_all);
                    exchanges.push_begun(method, entry, disconnect, handling);
                    match self.run_pipelined(&mut exchanges).await {
                        Pipelined::Idle => {}
                        Pipelined::Closed => return self.drain().await,
                        Pipelined::Ended(end) => return exchanges.end(end).await,
                    }
                }
            }
        }
    }

    /// Reads ahead while requests are handled, until all have a response or the connection ends.
    async fn run_pipelined<F, W>(&mut self, exchanges: &mut Exchanges<S, H, C, F, W>) -> Pipelined
    where
        F: Future<Output = Response>,
        W: Future<Output = bool>,
    {
        loop {
            let limits = self.limits();
            let limit = limits.idle_timeout;
            if !exchanges.pipeline().may_read() {
                let left = arrival(self.reader.stream.clone(), false);
                let has_room = |pipeline: &Pipeline| pipeline.may_read() || pipeline.is_empty();
                match exchanges.drive(limit, left, has_room).await.ended() {
                    Ok(None) => continue,
                    Ok(Some(_)) => return Pipelined::Ended(End::CallerLeft),
                    Err(ended) => return ended,
                }
            }
            remove_empty_lines(&mut self.reader.buffer);
            if self.reader.buffer.is_empty() {
                let arrival = arrival(self.reader.stream.clone(), true);
                match exchanges
                    .drive(limit, arrival, Pipeline::is_empty)
                    .await
                    .ended()
                {
                    Ok(None) => return Pipelined::Idle,
                    Ok(Some(Arrival::Bytes)) => {}
                    Ok(Some(Arrival::End)) => return Pipelined::Ended(End::CallerLeft),
                    Err(ended) => return ended,
                }
                let fill = self.reader.fill();
                match exchanges.drive(limit, fill, |_| false).await.ended() {
                    Ok(Some(Ok(true))) => continue,
                    Ok(_) => return Pipelined::Ended(End::CallerLeft),
                    Err(ended) => return ended,
                }
            }
            let head = self.read_head(&limits);
            let head = match exchanges.drive(limit, head, |_| false).await.ended() {
                Ok(head) => head,
                Err(ended) => return ended,
            };
            let read = match head {
                Some(Ok(head)) => {
                    if head.expects_continue && self.reader.buffer.is_empty() {
                        // The interim response may not be written ahead of earlier responses.
                        let arrival = arrival(self.reader.stream.clone(), true);
                        match exchanges
                            .drive(limit, arrival, Pipeline::is_empty)
                            .await
                            .ended()
                        {
                            Ok(Some(Arrival::End)) => return Pipelined::Ended(End::CallerLeft),
                            Ok(_) => {}
                            Err(ended) => return ended,
                        }
                    }
                    let is_first = exchanges.pipeline().is_empty();
                    let body = self.read_rest(head, is_first, &limits);
                    match exchanges.drive(limit, body, |_| false).await.ended() {
                        Ok(read) => read,
                        Err(ended) => return ended,
                    }
                }
                Some(Err(error)) => Some(Err(error)),
                None => None,
            };
            match read {
                Some(Ok(incoming)) => exchanges.push(incoming),
                Some(Err(error)) => {
                    let Some(response) = self.rejection(error) else {
                        return Pipelined::Ended(End::CallerLeft);
                    };
                    exchanges.push_error(response);
                }
                None => {}
            }
        }
    }

    async fn read_request(&mut self, limits: &Limits) -> Result<Incoming, Error> {
        let head = self.read_head(limits).await?;
        self.read_rest(head, true, limits).await
    }

    /// Reads the body of a request. Only if it `is_first`, an interim response may be written.
    async fn read_rest(
        &mut self,
        head: Head,
        is_first: bool,
        limits: &Limits,
    ) -> Result<Incoming, Error> {
        let Head {
            mut request,
            framing,
            keep_alive,
            expects_continue,
        } = head;
        let arrived_at = self.node.now();
        request.body = self
            .read_body(framing, expects_continue && is_first, limits)
            .await?;
        let mut size = request.body.capacity();
        if !is_first {
            size += AHEAD_BYTES;
        }
        let memory = self.node.body_memory.reserve(size);
        let memory = memory.map_err(|_| Error::Overloaded)?;
        let forecast = Forecast::new(&self.node, &request, arrived_at);
        Ok(Incoming {
            request,
            keep_alive,
            arrived_at,
            forecast,
            memory,
        })
    }

    async fn write(&mut self, bytes: &[u8], limit: Duration) -> bool {
        write(&mut self.reader.stream, &self.node.clock, bytes, limit).await
    }

    /// Returns the limits of the configuration in force.
    fn limits(&self) -> Limits {
        let config = self.node.config.load();
        config.as_ref().map(|c| c.limits).unwrap_or_default()
    }

    /// Waits for the first bytes of the next request. The configuration may change meanwhile.
    async fn wait_for_request(&mut self) -> Result<(), Error> {
        if !self.reader.buffer.is_empty() {
            return Ok(());
        }
        let clock = self.node.clock.clone();
        let idle_timeout = self.limits().idle_timeout;
        let closing = self.closing.clone();
        let ended = async {
            // Nothing is sent on the channel: receiving ends when the sender is dropped.
            let _ = closing.recv().await;
            Ok(false)
        };
        let idle = async {
            clock.sleep(idle_timeout).await;
            Ok(false)
        };
        match or(self.reader.fill(), or(idle, ended)).await {
            Ok(true) => Ok(()),
            Ok(false) | Err(_) => Err(Error::Ended),
        }
    }

    /// Reads the head of the next request, of which some bytes have arrived.
    async fn read_head(&mut self, limits: &Limits) -> Result<Head, Error> {
        let clock = self.node.clock.clone();
        let timeout = async {
            clock.sleep(limits.head_timeout).await;
            Err(Error::TooSlow)
        };
        or(read_head(&mut self.reader, limits.max_head_bytes), timeout).await
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        expects_continue: bool,
        limits: &Limits,
    ) -> Result<Vec<u8>, Error> {
        const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
        match framing {
            Framing::Length(0) => return Ok(Vec::new()),
            Framing::Length(length) if length > limits.max_body_bytes => {
                return Err(Error::BodyTooLarge)
            }
            _ => {}
        }
        if expects_continue && self.reader.buffer.is_empty() {
            let sent = self.write(CONTINUE, limits.idle_timeout).await;
            if !sent {
                return Err(Error::Ended);
            }
        }
        let clock = self.node.clock.clone();
        let timeout = async {
            clock.sleep(limits.idle_timeout).await;
            Err(Error::TooSlow)
        };
        or(read_body(&mut self.reader, framing, limits), timeout).await
    }

    /// Responds with the reason why the request is rejected, and closes the connection.
    async fn refuse(mut self, error: Error) {
        let Some(response) = self.rejection(error) else {
            return;
        };
        let bytes = response.encode("GET", true);
        if self.write(&bytes, DRAIN_TIMEOUT).await {
            self.drain().await;
        }
    }

    /// Returns the response to a request that cannot be read, if there is one.
    fn rejection(&mut self, error: Error) -> Option<Response> {
        // A head that was not parsed may have a key.
        self.reader.buffer.zeroize();
        let status = error.status()?;
        let node = &self.node;
        if let Some(suppressed) = node.limits.refused.pass(node.now()) {
            slog::info!(node.log, "callers: request rejected"; "status" => status,
                "reason" => %error, "suppressed" => suppressed);
        }
        Some(Response::text(status, &error.to_string()))
    }

    /// Closes the connection for writing, then reads and discards what the caller still sends.
    async fn drain(mut self) {
        if self
            .reader
            .stream
            .shutdown(std::net::Shutdown::Write)
            .is_err()
        {
            return;
        }
        let clock = self.node.clock.clone();
        or(self.reader.discard(), clock.sleep(DRAIN_TIMEOUT)).await;
    }
}

async fn read_head(reader: &mut Reader, limit: usize) -> Result<Head, Error> {
    loop {
        if let Some((head, length)) = request::parse(&reader.buffer)? {
            if length > limit {
                return Err(Error::HeadTooLarge);
            }
            remove_head(&mut reader.buffer, length);
            return Ok(head);
        }
        if reader.buffer.len() > limit {
            return Err(Error::HeadTooLarge);
        }
        if !reader.fill().await.map_err(|_| Error::Ended)? {
            return Err(Error::Ended);
        }
    }
}

/// Removes the first `length` bytes of `buffer`, and wipes what is left of them from memory, as they may
/// have a key.
fn remove_head(buffer: &mut Vec<u8>, length: usize) {
    let rest = buffer.len() - length;
    buffer.copy_within(length.., 0);
    buffer[rest..].zeroize();
    buffer.truncate(rest);
}

/// Removes empty lines ahead of a request. Some callers send one behind a body; as the start of a head it
/// would time out while the request before is handled.
fn remove_empty_lines(buffer: &mut Vec<u8>) {
    let mut rest = buffer.as_slice();
    while let Some(after) = rest
        .strip_prefix(b"\r\n")
        .or_else(|| rest.strip_prefix(b"\n"))
    {
        rest = after;
    }
    let length = buffer.len() - rest.len();
    if length > 0 {
        remove_head(buffer, length);
    }
}

async fn read_body(
    reader: &mut Reader,
    framing: Framing,
    limits: &Limits,
) -> Result<Vec<u8>, Error> {
    let body = match framing {
        Framing::Length(length) => reader.read_exact(length).await,
        Framing::Chunked => {
            let limits = client::Limits {
                max_head_bytes: limits.max_head_bytes,
                max_body_bytes: limits.max_body_bytes,
            };
            reader.read_chunks(limits).await
        }
    };
    body.map_err(|error| match error {
        client::Error::TooLarge { .. } => Error::BodyTooLarge,
        client::Error::Malformed => Error::Malformed,
        client::Error::OutOfMemory => Error::Overloaded,
        _ => Error::Ended,
    })
}

/// Handles a request.
async fn handle<S, H, C>(
    node: Arc<Node<S, H, C>>,
    incoming: Incoming,
    disconnect: Arc<Disconnect>,
) -> Response
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let Incoming {
        mut request,
        arrived_at,
        memory: _memory,
        ..
    } = incoming;
    forward::handle(&node, &mut request, arrived_at, &disconnect).await
}

async fn write_all<C>(mut stream: TcpStream, clock: C, bytes: Vec<u8>, limit: Duration) -> bool
where
    C: Clock,
{
    write(&mut stream, &clock, &bytes, limit).await
}

/// Writes `bytes`. Returns whether that succeeded within `limit`.
async fn write<C>(stream: &mut TcpStream, clock: &C, bytes: &[u8], limit: Duration) -> bool
where
    C: Clock,
{
    let writing = async { stream.write_all(bytes).await.is_ok() };
    let timeout = async {
        clock.sleep(limit).await;
        false
    };
    or(writing, timeout).await
}

/// Completes when the caller has closed the connection, or, if `may_have_more`, when bytes can be
/// read. Without it, bytes that the caller has already sent hide a later close.
async fn arrival(stream: TcpStream, may_have_more: bool) -> Arrival {
    let mut byte = [0];
    if !matches!(stream.peek(&mut byte).await, Ok(n) if n > 0) {
        return Arrival::End;
    }
    if !may_have_more {
        std::future::pending::<()>().await;
    }
    Arrival::Bytes
}
