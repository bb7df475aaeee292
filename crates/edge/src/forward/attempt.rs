//! One request to one server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::backend::Outcome;
use balance::report::USUAL_PACE;
use balance::server::Key;
use client::{Answer, Connection, Limits};
use clock::{Clock, Instant};

use super::outcome::{AttemptOutcome, AttemptResult};
use crate::callers::Request;
use crate::gossip::{self, Event};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How long a connection to a server may take to open. A server in the same region answers within
/// milliseconds; a lost packet would cost a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection may have been idle for a request that may repeat.
const IDEMPOTENT_MAX_IDLE: Duration = Duration::from_secs(4);

/// How long a connection may have been idle for a request that must not repeat: if the server closes
/// it at that moment, nobody can tell whether the request ran.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(1500);

/// How long a connection is kept when its server names no time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// The part of the time that a server names after which a connection is not used any more.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// The largest head and body of an answer, in bytes.
const RESPONSE_LIMITS: Limits = Limits {
    head: 64 * 1024,
    body: 64 * 1024 * 1024,
};

/// What is sent.
#[derive(Debug)]
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) request: &'a Request,
    pub(crate) id: Option<&'a str>,
    pub(crate) route: &'a str,
    pub(crate) aim: Duration,
    pub(crate) idempotent: bool,
    /// When the answer is of no use any more.
    pub(crate) deadline: Instant,
}

/// A request that is at a server. It ends when dropped, also without an answer.
struct InFlight<'a, S, H, C>
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

impl<'a, S, H, C> InFlight<'a, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn start(node: &'a Node<S, H, C>, key: Key) -> Self {
        let held = node.table.lock().start(key, node.now());
        node.publish(Event::in_flight(key, held));
        Self {
            node,
            key,
            event: Event::in_flight(key, held),
            outcome: Outcome::Unknown,
        }
    }

    /// Notes how the request ended.
    fn end(&mut self, end: &AttemptOutcome) {
        let (outcome, reported) = match end {
            AttemptOutcome::NotRun(_) => (Outcome::Shed, Some(gossip::RequestOutcome::Shed)),
            AttemptOutcome::Unreachable(_) => {
                (Outcome::Failed, Some(gossip::RequestOutcome::Unreached))
            }
            _ if end.is_failure() => (Outcome::Failed, Some(gossip::RequestOutcome::Failed)),
            _ => (Outcome::Answered, Some(gossip::RequestOutcome::Answered)),
        };
        self.outcome = outcome;
        self.event.outcome = reported;
        self.event.report = end.report();
    }
}

impl<S, H, C> Drop for InFlight<'_, S, H, C>
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
                table.report(self.key, report, now);
            }
            self.event.in_flight = table.finish(self.key, now);
            table.get_mut(self.key).map(|backend| {
                backend.ended(self.outcome, now);
                backend.server.service.clone()
            })
        };
        node.publish(self.event.clone());
        if let Some(service) = service {
            node.queues.wake(&service);
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
        let keep = named.map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f64(KEEP_ALIVE_FRACTION));
        self.idle.put_until(address, connection, self.now() + keep);
    }

    /// Sends a request to the server `key` and waits for its end.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        key: Key,
        outgoing: &OutgoingRequest<'_>,
    ) -> Option<AttemptResult> {
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
        let sent_at = self.now();
        let mut in_flight = InFlight::start(self, key);
        let left = outgoing.deadline.since(sent_at);
        let timeout = async {
            self.clock.sleep(left).await;
            AttemptOutcome::TimedOut
        };
        let outcome = smol::future::or(self.exchange(address, &server, outgoing), timeout).await;
        in_flight.end(&outcome);
        let now = self.now();
        let duration = now.since(sent_at);
        match &outcome {
            AttemptOutcome::Unreachable(_) => self.record_connection_failure(key, address, false),
            AttemptOutcome::Indeterminate(_) => self.record_connection_failure(key, address, true),
            AttemptOutcome::Answered(answer, metadata) if answer.status < 500 => {
                let pace = metadata.report.map_or(USUAL_PACE, |r| r.pace);
                let factor = f64::from(pace) / f64::from(USUAL_PACE);
                self.service_times
                    .record(outgoing.route, outgoing.aim, duration, factor);
                if let Some(backend) = self.table.lock().get_mut(key) {
                    backend.took(duration);
                }
            }
            _ => {}
        }
        if !outcome.has_not_run() {
            let mut rollouts = self.rollouts.lock();
            rollouts.count(
                &service,
                &version,
                outgoing.route,
                outcome.is_failure(),
                duration,
            );
        }
        self.metrics.attempt(&service, outcome.name());
        Some(AttemptResult { outcome, duration })
    }

    fn record_connection_failure(&self, key: Key, address: SocketAddr, connected: bool) {
        self.idle.forget(address);
        if let Some(backend) = self.table.lock().get_mut(key) {
            backend.lost(connected, self.now());
            if !connected {
                backend.unreached(self.identity.boot, self.now());
            }
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        server: &str,
        outgoing: &OutgoingRequest<'_>,
    ) -> AttemptOutcome {
        let idle = if outgoing.idempotent {
            IDEMPOTENT_MAX_IDLE
        } else {
            NON_IDEMPOTENT_MAX_IDLE
        };
        let timeout = async {
            self.clock.sleep(CONNECT_TIMEOUT).await;
            Err(client::Error::Connect(std::io::ErrorKind::TimedOut.into()))
        };
        let connection = smol::future::or(self.idle.take(address, idle), timeout).await;
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => return AttemptOutcome::Unreachable(error),
        };
        let left = outgoing.deadline.since(self.now());
        let headers = self
            .codec
            .request_headers(&outgoing.request.headers, left, server);
        let request = client::Request {
            method: &outgoing.request.method,
            target: &outgoing.request.target,
            host: &outgoing.request.host,
            headers: &headers,
            body: &outgoing.request.body,
        };
        let is_response = |answer: &Answer| {
            let named = self.codec.parse_response(&answer.headers).request_id;
            named.is_none() || named.as_deref() == outgoing.id
        };
        match connection
            .converse(&request, RESPONSE_LIMITS, is_response)
            .await
        {
            Ok(exchange) => {
                if let Some(connection) = exchange.connection {
                    self.keep(address, connection, exchange.idle_time);
                }
                let metadata = self.codec.parse_response(&exchange.answer.headers);
                AttemptOutcome::of(exchange.answer, metadata, outgoing.id)
            }
            Err(client::Error::Unsendable) => {
                AttemptOutcome::Unreachable(client::Error::Unsendable)
            }
            Err(error) => AttemptOutcome::Indeterminate(indeterminate_reason(&error)),
        }
    }
}

/// Returns why an answer is lost, as it stands in logs.
fn indeterminate_reason(error: &client::Error) -> &'static str {
    match error {
        client::Error::Broken(_) => "the connection broke",
        client::Error::Short { .. } => "the answer was cut short",
        client::Error::Crossed => "only answers to other requests came",
        client::Error::TooLarge { .. } => "the answer is too large",
        _ => "the answer is malformed",
    }
}
