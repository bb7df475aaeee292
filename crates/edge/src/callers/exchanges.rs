//! The requests of a connection that are handled at the same time, and their responses.

use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use balance::pipeline::{Bounds, Pipeline};
use client::Reservation;
use clock::{Clock, Instant};
use smol::net::TcpStream;

use super::disconnect::{Disconnect, Place};
use super::request::Request;
use super::response::Response;
use crate::forward::Forecast;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// What a connection may hold. A server has 4 to 6 slots, and one connection is to take no more than
/// two servers.
const BOUNDS: Bounds = Bounds {
    requests: 8,
    bytes: 64 * 1024,
};

/// A request that has been read.
pub(super) struct Incoming {
    pub(super) request: Request,
    pub(super) keep_alive: bool,
    pub(super) arrived_at: Instant,
    pub(super) forecast: Forecast,
    /// The memory of the request, until it has been handled.
    pub(super) memory: Reservation,
}

/// Why [`Exchanges::drive`] returns.
pub(super) enum Step<T> {
    /// The future completed.
    Until(T),
    /// The condition holds.
    Holds,
    /// A response that closes the connection has been written.
    Closed,
    /// A response could not be written.
    Failed,
}

/// Why requests end without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The caller has closed the connection, at least for writing.
    CallerLeft,
    /// A response could not be written.
    WriteFailed,
}

/// A request whose response has not been written.
struct Slot<F> {
    id: u64,
    method: String,
    /// Until it is begun.
    incoming: Option<Incoming>,
    disconnect: Arc<Disconnect>,
    handling: Option<Pin<Box<F>>>,
    response: Option<Response>,
    /// The memory of the response, until it has been written.
    memory: Option<Reservation>,
}

/// A response that is being written.
struct Writing<W> {
    closes: bool,
    future: Pin<Box<W>>,
}

/// Starts to handle a request.
type Handle<S, H, C, F> = fn(Arc<Node<S, H, C>>, Incoming, Arc<Disconnect>) -> F;

/// Starts to write to a connection. The future returns whether all was written in time.
type WriteAll<C, W> = fn(TcpStream, C, Vec<u8>, Duration) -> W;

/// The requests of a connection that are handled at the same time, and their responses.
pub(super) struct Exchanges<S, H, C, F, W>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node: Arc<Node<S, H, C>>,
    stream: TcpStream,
    pipeline: Pipeline,
    slots: VecDeque<Slot<F>>,
    writing: Option<Writing<W>>,
    /// Whether there was no memory for a response.
    is_out_of_memory: bool,
    handle: Handle<S, H, C, F>,
    write_all: WriteAll<C, W>,
}

impl<S, H, C, F, W> Exchanges<S, H, C, F, W>
where
    S: Store,
    H: Codec,
    C: Clock,
    F: Future<Output = Response>,
    W: Future<Output = bool>,
{
    pub(super) fn new(
        node: Arc<Node<S, H, C>>,
        stream: TcpStream,
        handle: Handle<S, H, C, F>,
        write_all: WriteAll<C, W>,
    ) -> Self {
        Self {
            node,
            stream,
            pipeline: Pipeline::new(BOUNDS),
            slots: VecDeque::new(),
            writing: None,
            is_out_of_memory: false,
            handle,
            write_all,
        }
    }

    pub(super) fn pipeline(&self) -> &Pipeline {
        &self.pipeline
    }

    /// Adds the first request, which is being handled already.
    pub(super) fn push_begun(
        &mut self,
        method: String,
        request: balance::pipeline::Request,
        disconnect: Arc<Disconnect>,
        handling: Pin<Box<F>>,
    ) {
        let id = self.pipeline.push(request);
        let begun = self.pipeline.begin(false, self.node.now());
        debug_assert_eq!(begun, Some(id), "the first request is begun at once");
        self.slots.push_back(Slot {
            id,
            method,
            incoming: None,
            disconnect,
            handling: Some(handling),
            response: None,
            memory: None,
        });
    }

    /// Adds a request that has been read.
    pub(super) fn push(&mut self, mut incoming: Incoming) {
        // A request that waits may be dropped before it is handled.
        if self.node.has_tenants() {
            incoming.request.take_credential(&self.node.codec);
        }
        if !self.pipeline.is_empty() {
            self.node.metrics.pipelined();
        }
        let id = self.pipeline.push(incoming.entry());
        self.slots.push_back(Slot {
            id,
            method: incoming.request.method.clone(),
            incoming: Some(incoming),
            disconnect: Arc::default(),
            handling: None,
            response: None,
            memory: None,
        });
    }

    /// Adds the response to a request that could not be read.
    pub(super) fn push_error(&mut self, response: Response) {
        let id = self.pipeline.push_error(response.size(), self.node.now());
        self.slots.push_back(Slot {
            id,
            method: "GET".to_owned(),
            incoming: None,
            disconnect: Arc::default(),
            handling: None,
            response: Some(response),
            memory: None,
        });
    }

    /// Handles requests and writes responses until `until` completes, `condition` holds or the
    /// connection ends. `limit` bounds the time for writing a response.
    pub(super) async fn drive<T, U, P>(
        &mut self,
        limit: Duration,
        until: U,
        condition: P,
    ) -> Step<T>
    where
        U: Future<Output = T>,
        P: Fn(&Pipeline) -> bool,
    {
        let mut until = pin!(until);
        poll_fn(|cx| loop {
            self.start(limit);
            let is_handled = self.poll_handling(cx);
            if self.is_out_of_memory {
                return Poll::Ready(Step::Failed);
            }
            let is_written = match self.poll_writing(cx) {
                Some(Step::Holds) => true,
                Some(Step::Closed) => return Poll::Ready(Step::Closed),
                Some(Step::Failed) => return Poll::Ready(Step::Failed),
                Some(Step::Until(())) | None => false,
            };
            if is_handled || is_written {
                continue;
            }
            if condition(&self.pipeline) {
                return Poll::Ready(Step::Holds);
            }
            return until.as_mut().poll(cx).map(Step::Until);
        })
        .await
    }

    /// Starts to write the next response and to handle requests, as far as they may be.
    fn start(&mut self, limit: Duration) {
        let is_stopping = self.node.is_stopping();
        if let Some(write) = self.pipeline.write(is_stopping) {
            self.cancel(write.cancelled.len());
            let slot = self.slots.front_mut();
            if let Some((slot, response)) = slot.and_then(|s| s.response.take().map(|r| (s, r))) {
                let bytes = response.encode(&slot.method, write.closes);
                let stream = self.stream.clone();
                let future = (self.write_all)(stream, self.node.clock.clone(), bytes, limit);
                self.writing = Some(Writing {
                    closes: write.closes,
                    future: Box::pin(future),
                });
            }
        }
        let now = self.node.now();
        while let Some(id) = self.pipeline.begin(is_stopping, now) {
            let place = if self.pipeline.is_first(id) {
                Place::InTurn
            } else {
                Place::Ahead
            };
            let slot = self.slots.iter_mut().find(|slot| slot.id == id);
            if let Some((slot, incoming)) = slot.and_then(|s| s.incoming.take().map(|i| (s, i))) {
                slot.disconnect = Arc::new(Disconnect::new(place));
                let handling = (self.handle)(self.node.clone(), incoming, slot.disconnect.clone());
                slot.handling = Some(Box::pin(handling));
            }
        }
    }

    /// Cancels the `requests` behind the first. They count as not read.
    fn cancel(&mut self, requests: usize) {
        if requests == 0 {
            return;
        }
        self.node.metrics.cancelled(requests);
        slog::debug!(self.node.log, "callers: pipelined requests cancelled behind a close";
            "requests" => requests);
        for slot in self.slots.iter().skip(1) {
            slot.disconnect.set_disconnected();
        }
        self.slots.truncate(1);
    }

    /// Returns whether a response has become ready.
    fn poll_handling(&mut self, cx: &mut Context<'_>) -> bool {
        let mut is_handled = false;
        for slot in &mut self.slots {
            let Some(handling) = &mut slot.handling else {
                continue;
            };
            if let Poll::Ready(response) = handling.as_mut().poll(cx) {
                self.pipeline.complete(slot.id, response.size());
                slot.handling = None;
                slot.memory = self.node.body_memory.reserve(response.size()).ok();
                self.is_out_of_memory |= slot.memory.is_none();
                slot.response = Some(response);
                is_handled = true;
            }
        }
        is_handled
    }

    fn poll_writing(&mut self, cx: &mut Context<'_>) -> Option<Step<()>> {
        let writing = self.writing.as_mut()?;
        let Poll::Ready(is_written) = writing.future.as_mut().poll(cx) else {
            return None;
        };
        let closes = writing.closes;
        self.writing = None;
        if !is_written {
            return Some(Step::Failed);
        }
        self.pipeline.finish_write();
        self.slots.pop_front();
        Some(if closes { Step::Closed } else { Step::Holds })
    }

    /// Cancels all requests. A non-idempotent one at a server runs to completion there, and a response
    /// of which a part has been written is completed, as the caller may still read.
    pub(super) async fn end(mut self, end: End) {
        self.pipeline.close();
        if end == End::WriteFailed {
            // Its response is the one that could not be written.
            self.cancel(self.slots.len().saturating_sub(1));
        }
        let mut unfinished = None;
        for slot in self.slots.drain(..).filter(|s| s.is_unanswered()) {
            slot.disconnect.set_disconnected();
            self.node.metrics.refusal("caller left");
            if slot.disconnect.must_finish() {
                unfinished = slot.handling;
            }
        }
        if let Some(writing) = self.writing {
            // A caller that does not read any more need not be told that it missed the response.
            let _ = writing.future.await;
        }
        if let Some(handling) = unfinished {
            handling.await;
        }
    }
}

impl<F> Slot<F> {
    /// Returns whether the request has not been handled completely.
    fn is_unanswered(&self) -> bool {
        self.incoming.is_some() || self.handling.is_some()
    }
}

impl Incoming {
    /// Returns what the order of requests depends on.
    pub(super) fn entry(&self) -> balance::pipeline::Request {
        balance::pipeline::Request {
            idempotent: self.forecast.idempotent,
            closes: !self.keep_alive,
            bytes: self.request.size(),
            deadline: self.forecast.deadline,
            expected: self.forecast.expected,
        }
    }
}
