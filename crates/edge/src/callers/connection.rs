//! A connection of a caller.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use balance::config::Limits;
use client::Reader;
use clock::Clock;
use smol::channel::Receiver;
use smol::future::or;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use zeroize::Zeroize;

use super::disconnect::Disconnect;
use super::error::Error;
use super::request::{self, Framing, Head};
use super::response::Response;
use crate::forward;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How long the rest of a rejected request is read and discarded, so that the caller can read the
/// response before the connection is reset.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

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
            let head = match self.read_head(&limits).await {
                Ok(head) => head,
                Err(error) => return self.refuse(error).await,
            };
            let Head {
                mut request,
                framing,
                keep_alive,
                expects_continue,
            } = head;
            let arrived_at = self.node.now();
            match self.read_body(framing, expects_continue, &limits).await {
                Ok(body) => request.body = body,
                Err(error) => return self.refuse(error).await,
            }
            let disconnect = Disconnect::default();
            let handling = forward::handle(&self.node, &mut request, arrived_at, &disconnect);
            let closed = closed(self.reader.stream.clone());
            let Some(response) = respond_unless_disconnected(handling, closed, &disconnect).await
            else {
                self.node.metrics.refusal("caller left");
                return;
            };
            let close = !keep_alive || self.node.is_stopping();
            let bytes = response.encode(&request.method, close);
            if !self.write(&bytes, limits.idle_timeout).await {
                return;
            }
            if close {
                return self.drain().await;
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
        // A head that was not parsed may have a key.
        self.reader.buffer.zeroize();
        let Some(status) = error.status() else {
            return;
        };
        let node = &self.node;
        if let Some(suppressed) = node.limits.refused.pass(node.now()) {
            slog::info!(node.log, "callers: request rejected"; "status" => status,
                "reason" => %error, "suppressed" => suppressed);
        }
        let bytes = Response::text(status, &error.to_string()).encode("GET", true);
        if self.write(&bytes, DRAIN_TIMEOUT).await {
            self.drain().await;
        }
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

/// Completes when the caller has closed the connection.
async fn closed(stream: TcpStream) {
    let mut byte = [0];
    if matches!(stream.peek(&mut byte).await, Ok(n) if n > 0) {
        // Data that the caller has already sent hides a later close, so the close cannot be
        // detected.
        std::future::pending().await
    }
}

/// Waits for the response, or returns `None` if the caller disconnects first. A disconnect cancels
/// the request, unless it is non-idempotent and at a server: then it runs to completion there.
async fn respond_unless_disconnected<F, G>(
    handling: F,
    closed: G,
    disconnect: &Disconnect,
) -> Option<Response>
where
    F: Future<Output = Response>,
    G: Future<Output = ()>,
{
    let mut handling = std::pin::pin!(handling);
    let closed = async {
        closed.await;
        None
    };
    let first = or(async { Some(handling.as_mut().await) }, closed).await;
    if first.is_some() {
        return first;
    }
    disconnect.set_disconnected();
    if disconnect.must_finish() {
        handling.await;
    }
    None
}
