//! One request to one server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::backend::Outcome;
use balance::report::NORMAL_SLOWDOWN_PERCENT;
use balance::server::Key;
use client::{Connection, Limits, Response};
use clock::{Clock, Instant};

use super::end::{End, Ended};
use crate::callers::Request;
use crate::gossip::{self, Event};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How long a connection to a server may take to open. A server in the same region answers within
/// milliseconds; a lost packet would cost a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// How long a connection may have been idle for a request that may repeat.
const IDLE_SAFE: Duration = Duration::from_secs(4);

/// How long a connection may have been idle for a request that must not repeat: if the server closes
/// it at that moment, nobody can tell whether the request ran.
const IDLE_UNSAFE: Duration = Duration::from_millis(1500);

/// How long a connection is kept when its server names no time.
const KEEP_FOR: Duration = Duration::from_secs(5);

/// The part of the time that a server names after which a connection is not used any more.
const KEEP_SHARE: f64 = 0.7;

/// The largest head and body of an answer, in bytes.
const ANSWER_LIMITS: Limits = Limits {
    max_head_bytes: 64 * 1024,
    max_body_bytes: 64 * 1024 * 1024,
};

/// What is sent.
#[derive(Debug)]
pub(crate) struct Sending<'a> {
    pub(crate) request: &'a Request,
    pub(crate) id: Option<&'a str>,
    pub(crate) route: &'a str,
    pub(crate) aim: Duration,
    pub(crate) idempotent: bool,
    /// When the answer is of no use any more.
    pub(crate) deadline: Instant,
}

/// A request that is at a server. It ends when dropped, also without an answer.
struct Underway<'a, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node: &'a Node<S, H, C>,
    key: Key,
    event: Event,
    outcome: Outcome,
}

impl<'a, S, H, C> Underway<'a, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn start(node: &'a Node<S, H, C>, key: Key) -> Self {
        let held = node.table.lock().start(key, node.now());
        node.announce(Event::held(key, held));
        Self {
            node,
            key,
            event: Event::held(key, held),
            outcome: Outcome::Unknown,
        }
    }

    /// Notes how the request ended.
    fn end(&mut self, end: &End) {
        let (outcome, told) = match end {
            End::NotRun(_) => (Outcome::Shed, Some(gossip::End::Shed)),
            End::Unreached(_) => (Outcome::Failed, Some(gossip::End::Unreached)),
            _ if end.is_failure() => (Outcome::Failed, Some(gossip::End::Failed)),
            _ => (Outcome::Answered, Some(gossip::End::Answered)),
        };
        self.outcome = outcome;
        self.event.end = told;
        self.event.report = end.report();
    }
}

impl<S, H, C> Drop for Underway<'_, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn drop(&mut self) {
        let node = self.node;
        let now = node.now();
        let service = {
            let mut table = node.table.lock();
            // An answer's report still counts the request that it ends.
            if let Some(report) = self.event.report {
                table.record_report(self.key, report, now);
            }
            self.event.held = table.finish(self.key, now);
            table.get_mut(self.key).map(|backend| {
                backend.record_outcome(self.outcome, now);
                backend.server.service.clone()
            })
        };
        node.announce(self.event.clone());
        if let Some(service) = service {
            node.waiting.wake(&service);
        }
    }
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Keeps a connection for as long as its other side says, less a margin.
    pub(crate) fn keep(
        &self,
        address: SocketAddr,
        connection: Connection,
        named: Option<Duration>,
    ) {
        let keep = named.map_or(KEEP_FOR, |time| time.mul_f64(KEEP_SHARE));
        self.idle.put_until(address, connection, self.now() + keep);
    }

    /// Sends a request to the server `key` and waits for its end.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        key: Key,
        sending: &Sending<'_>,
    ) -> Option<Ended> {
        let (address, server, service, version) = {
            let table = self.table.lock();
            let server = &table.get(key)?.server;
            (
                server.address,
                server.id.clone(),
                server.service.clone(),
                server.version.clone(),
            )
        };
        let began = self.now();
        let mut underway = Underway::start(self, key);
        let left = sending.deadline.since(began);
        let timeout = async {
            self.clock.sleep(left).await;
            End::TooLate
        };
        let end = smol::future::or(self.exchange(address, &server, sending), timeout).await;
        underway.end(&end);
        let now = self.now();
        let took = now.since(began);
        match &end {
            End::Unreached(_) => self.lose(key, address, false),
            End::Lost(_) => self.lose(key, address, true),
            End::Answered(answer, marks) if answer.status < 500 => {
                let pace = marks
                    .report
                    .map_or(NORMAL_SLOWDOWN_PERCENT, |r| r.slowdown_percent);
                let factor = f64::from(pace) / f64::from(NORMAL_SLOWDOWN_PERCENT);
                self.work.learn(sending.route, sending.aim, took, factor);
                if let Some(backend) = self.table.lock().get_mut(key) {
                    backend.record_latency(took);
                }
            }
            _ => {}
        }
        if !end.has_not_run() {
            let mut moves = self.moves.lock();
            moves.count(&service, &version, sending.route, end.is_failure(), took);
        }
        self.metrics.attempt(&service, end.name());
        Some(Ended { end, took })
    }

    fn lose(&self, key: Key, address: SocketAddr, reached: bool) {
        self.idle.forget(address);
        if let Some(backend) = self.table.lock().get_mut(key) {
            backend.record_connection_failure(reached, self.now());
            if !reached {
                backend.record_unreachable(self.me.boot, self.now());
            }
        }
    }

    async fn exchange(&self, address: SocketAddr, server: &str, sending: &Sending<'_>) -> End {
        let idle = if sending.idempotent {
            IDLE_SAFE
        } else {
            IDLE_UNSAFE
        };
        let opening = async {
            self.clock.sleep(CONNECT_LIMIT).await;
            Err(client::Error::Connect(std::io::ErrorKind::TimedOut.into()))
        };
        let connection = smol::future::or(self.idle.take(address, idle), opening).await;
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => return End::Unreached(error),
        };
        let left = sending.deadline.since(self.now());
        let headers = self
            .codec
            .request_headers(&sending.request.headers, left, server);
        let request = client::Request {
            method: &sending.request.method,
            target: &sending.request.target,
            host: &sending.request.host,
            headers: &headers,
            body: &sending.request.body,
        };
        let is_ours = |answer: &Response| {
            let named = self.codec.parse_response(&answer.headers).request_id;
            named.is_none() || named.as_deref() == sending.id
        };
        match connection
            .exchange_matching(&request, ANSWER_LIMITS, is_ours)
            .await
        {
            Ok(exchange) => {
                if let Some(connection) = exchange.connection {
                    self.keep(address, connection, exchange.keep_alive_timeout);
                }
                let marks = self.codec.parse_response(&exchange.response.headers);
                End::of(exchange.response, marks, sending.id)
            }
            Err(client::Error::InvalidRequest) => End::Unreached(client::Error::InvalidRequest),
            Err(error) => End::Lost(fault(&error)),
        }
    }
}

/// Returns why an answer is lost, as it stands in logs.
fn fault(error: &client::Error) -> &'static str {
    match error {
        client::Error::Broken(_) => "the connection broke",
        client::Error::Truncated { .. } => "the answer was cut short",
        client::Error::Mismatched => "only answers to other requests came",
        client::Error::TooLarge { .. } => "the answer is too large",
        _ => "the answer is malformed",
    }
}
