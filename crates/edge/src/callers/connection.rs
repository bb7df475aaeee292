//! One connection of a caller.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use balance::config::Limits;
use client::Reader;
use clock::Clock;
use smol::channel::Receiver;
use smol::future::or;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::departure::Departure;
use super::fault::Fault;
use super::request::{self, Framing, Head};
use super::response::Response;
use crate::forward;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How long the rest of a request that was refused is read and dropped, so that the caller gets to
/// read the answer before the connection is reset.
const LINGER: Duration = Duration::from_millis(500);

/// One connection of a caller.
pub(super) struct Connection<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node: Arc<Node<S, H, C>>,
    reader: Reader,
    /// Ends when idle connections are to be closed.
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
            node,
            reader: Reader::new(stream),
            closing,
        }
    }

    /// Answers the requests of the connection until it ends.
    pub(super) async fn run(mut self) {
        loop {
            let limits = self
                .node
                .config
                .load()
                .as_ref()
                .map(|c| c.limits)
                .unwrap_or_default();
            let head = match self.read_head(&limits).await {
                Ok(head) => head,
                Err(fault) => return self.refuse(fault).await,
            };
            let Head {
                mut request,
                framing,
                keeps_alive,
                expects_continue,
            } = head;
            let came = self.node.now();
            match self.read_body(framing, expects_continue, &limits).await {
                Ok(body) => request.body = body,
                Err(fault) => return self.refuse(fault).await,
            }
            let departure = Departure::default();
            let answering = forward::answer(&self.node, &request, came, &departure);
            let gone = gone(self.reader.stream.clone());
            let Some(response) = attend(answering, gone, &departure).await else {
                self.node.metrics.refusal("caller left");
                return;
            };
            let closes = !keeps_alive || self.node.is_stopping();
            let bytes = response.encode(&request.method, closes);
            if !self.write(&bytes, limits.idle_timeout).await {
                return;
            }
            if closes {
                return self.linger().await;
            }
        }
    }

    async fn write(&mut self, bytes: &[u8], limit: Duration) -> bool {
        let clock = self.node.clock.clone();
        let writing = async { self.reader.stream.write_all(bytes).await.is_ok() };
        let timeout = async {
            clock.sleep(limit).await;
            false
        };
        or(writing, timeout).await
    }

    /// Reads the head of the next request.
    async fn read_head(&mut self, limits: &Limits) -> Result<Head, Fault> {
        let clock = self.node.clock.clone();
        if self.reader.buffer.is_empty() {
            let closing = self.closing.clone();
            let ended = async {
                // The channel carries nothing: it ends when its sender is dropped.
                let _ = closing.recv().await;
                Ok(false)
            };
            let idle = async {
                clock.sleep(limits.idle_timeout).await;
                Ok(false)
            };
            if !or(self.reader.fill(), or(idle, ended))
                .await
                .map_err(|_| Fault::Ended)?
            {
                return Err(Fault::Ended);
            }
        }
        let timeout = async {
            clock.sleep(limits.head_timeout).await;
            Err(Fault::TooSlow)
        };
        or(read_head(&mut self.reader, limits.max_head_bytes), timeout).await
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        expects_continue: bool,
        limits: &Limits,
    ) -> Result<Vec<u8>, Fault> {
        const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
        match framing {
            Framing::Length(0) => return Ok(Vec::new()),
            Framing::Length(length) if length > limits.max_body_bytes => {
                return Err(Fault::BodyTooLarge)
            }
            _ => {}
        }
        if expects_continue && self.reader.buffer.is_empty() {
            let sent = self.write(CONTINUE, limits.idle_timeout).await;
            if !sent {
                return Err(Fault::Ended);
            }
        }
        let clock = self.node.clock.clone();
        let timeout = async {
            clock.sleep(limits.idle_timeout).await;
            Err(Fault::TooSlow)
        };
        or(read_body(&mut self.reader, framing, limits), timeout).await
    }

    /// Says why the request cannot be read, and ends the connection.
    async fn refuse(mut self, fault: Fault) {
        let Some(status) = fault.status() else {
            return;
        };
        let node = &self.node;
        if let Some(suppressed) = node.limits.refused.pass(node.now()) {
            slog::info!(node.log, "callers: a request cannot be read"; "status" => status,
                "reason" => %fault, "suppressed" => suppressed);
        }
        let bytes = Response::text(status, &fault.to_string()).encode("GET", true);
        if self.write(&bytes, LINGER).await {
            self.linger().await;
        }
    }

    /// Ends the connection after what was sent has been read.
    async fn linger(mut self) {
        if self
            .reader
            .stream
            .shutdown(std::net::Shutdown::Write)
            .is_err()
        {
            return;
        }
        let clock = self.node.clock.clone();
        let draining = async {
            let mut rest = [0; 1024];
            while matches!(self.reader.stream.read(&mut rest).await, Ok(n) if n > 0) {}
        };
        or(draining, clock.sleep(LINGER)).await;
    }
}

async fn read_head(reader: &mut Reader, limit: usize) -> Result<Head, Fault> {
    loop {
        if let Some((head, length)) = request::parse(&reader.buffer)? {
            if length > limit {
                return Err(Fault::HeadTooLarge);
            }
            reader.buffer.drain(..length);
            return Ok(head);
        }
        if reader.buffer.len() > limit {
            return Err(Fault::HeadTooLarge);
        }
        if !reader.fill().await.map_err(|_| Fault::Ended)? {
            return Err(Fault::Ended);
        }
    }
}

async fn read_body(
    reader: &mut Reader,
    framing: Framing,
    limits: &Limits,
) -> Result<Vec<u8>, Fault> {
    let body = match framing {
        Framing::Length(length) => reader.read_exact(length, 0).await,
        Framing::Chunked => {
            let limits = client::Limits {
                max_head_bytes: limits.max_head_bytes,
                max_body_bytes: limits.max_body_bytes,
            };
            reader.read_chunks(limits).await
        }
    };
    body.map_err(|error| match error {
        client::Error::TooLarge { .. } => Fault::BodyTooLarge,
        client::Error::Malformed => Fault::Malformed,
        _ => Fault::Ended,
    })
}

/// Completes when the caller has closed the connection.
async fn gone(stream: TcpStream) {
    let mut byte = [0];
    if matches!(stream.peek(&mut byte).await, Ok(n) if n > 0) {
        // What the caller sends ahead hides an end behind it.
        std::future::pending().await
    }
}

/// Waits for the answer. When the caller leaves, the request ends, unless it must not repeat and is
/// at a server: then it goes on to its end there.
async fn attend<F, G>(answering: F, gone: G, departure: &Departure) -> Option<Response>
where
    F: Future<Output = Response>,
    G: Future<Output = ()>,
{
    let mut answering = std::pin::pin!(answering);
    let gone = async {
        gone.await;
        None
    };
    let first = or(async { Some(answering.as_mut().await) }, gone).await;
    if first.is_some() {
        return first;
    }
    departure.leave();
    if departure.is_bound() {
        answering.await;
    }
    None
}
