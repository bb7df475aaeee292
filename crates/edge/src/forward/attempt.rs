//! Sends one request to one backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use balance::backend::Outcome;
use balance::report::NORMAL_SLOWDOWN_PERCENT;
use balance::server::Key;
use balance::usage::Attempt;
use client::{Connection, Limits, Response};
use clock::{Clock, Instant};

use super::access::Access;
use super::matching::Matching;
use super::outcome::{AttemptOutcome, AttemptResult, MISDIRECTED};
use crate::callers::Request;
use crate::gossip::{self, Event};
use crate::headers::Codec;
use crate::node::Node;
use crate::rollouts::Sample;
use crate::store::Store;
use crate::usage;

/// Timeout for opening a connection. Servers in the same region accept within milliseconds; one
/// lost packet would delay the connection by a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest idle time of a connection that carries an idempotent request.
const IDEMPOTENT_MAX_IDLE: Duration = Duration::from_secs(4);

/// The longest idle time of a connection that carries a non-idempotent request. If the server
/// closes the connection at that moment, the instance cannot know whether the request ran.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(1500);

/// How long an idle connection is kept if the server's `Keep-Alive` header names no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);

/// The fraction of the server's keep-alive timeout for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// The largest head and body of a response, in bytes.
const RESPONSE_LIMITS: Limits = Limits {
    max_head_bytes: 64 * 1024,
    max_body_bytes: 64 * 1024 * 1024,
};

/// A request as it is sent to a server.
#[derive(Debug)]
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) request: &'a Request,
    pub(crate) id: Option<&'a str>,
    pub(crate) access: &'a Access<'a>,
    /// The usage of the tenant, if it is counted.
    pub(crate) usage: Option<&'a usage::Request>,
    pub(crate) route: &'a str,
    pub(crate) objective: Duration,
    pub(crate) idempotent: bool,
    /// When the caller stops waiting for the response.
    pub(crate) deadline: Instant,
    /// Whether a server has answered, which clears the others that have not.
    pub(crate) answered: AtomicBool,
}

/// Counts a request as in flight at a server until dropped, which may happen before a response
/// arrives.
struct InFlight<'a, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node: &'a Arc<Node<S, H, C>>,
    key: Key,
    outgoing: &'a OutgoingRequest<'a>,
    event: Event,
    outcome: Outcome,
    /// When the request was sent, until the exchange with the server has ended.
    unanswered_since: Option<Instant>,
    /// How the response is matched to the request, once there is a connection.
    matching: Option<Matching>,
    skipped_responses: AtomicUsize,
    /// What is counted for the tenant, once the request is sent. An attempt that is abandoned stays
    /// counted, as the server may run it.
    counted: Option<Attempt>,
}

impl<'a, S, H, C> InFlight<'a, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn start(node: &'a Arc<Node<S, H, C>>, key: Key, outgoing: &'a OutgoingRequest<'a>) -> Self {
        let in_flight = node.table.lock().start(key, node.now());
        node.publish(Event::in_flight(key, in_flight));
        Self {
            node,
            key,
            outgoing,
            event: Event::in_flight(key, in_flight),
            outcome: Outcome::Unknown,
            unanswered_since: None,
            matching: None,
            skipped_responses: AtomicUsize::new(0),
            counted: None,
        }
    }

    /// Sets how the request ended.
    fn set_outcome(&mut self, outcome: &AttemptOutcome) {
        let (counted, reported) = match outcome {
            AttemptOutcome::NotRun(_) => (Outcome::Shed, Some(gossip::RequestOutcome::Shed)),
            AttemptOutcome::Unreachable(_) => {
                (Outcome::Failed, Some(gossip::RequestOutcome::Unreached))
            }
            AttemptOutcome::Denied(_) => (Outcome::Unknown, None),
            _ if outcome.is_failure() => (Outcome::Failed, Some(gossip::RequestOutcome::Failed)),
            _ => (Outcome::Answered, Some(gossip::RequestOutcome::Answered)),
        };
        self.outcome = counted;
        self.event.outcome = reported;
        self.event.report = outcome.report();
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
            // The server counted this request in the load that it reported, so apply the report
            // first.
            if let Some(report) = self.event.report {
                table.record_report(self.key, report, now);
            }
            self.event.in_flight = table.finish(self.key, now);
            table.get_mut(self.key).map(|backend| {
                backend.record_outcome(self.outcome, now);
                backend.server.service.clone()
            })
        };
        node.publish(self.event.clone());
        if let Some(service) = service {
            node.queues.wake(&service);
        }
        let answered = self.outgoing.answered.load(Ordering::Acquire);
        if let Some(sent_at) = self.unanswered_since.filter(|_| !answered) {
            let request = || self.outgoing.request.fingerprint(&node.codec);
            node.record_silence(self.key, request, sent_at);
        }
    }
}

/// Observes a request for a rollout until dropped, which may happen before a response arrives.
struct Observation<'a, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node: &'a Node<S, H, C>,
    service: &'a str,
    id: Option<u64>,
    /// Whether the outcome has been counted.
    counted: bool,
}

impl<'a, S, H, C> Observation<'a, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn start(node: &'a Node<S, H, C>, sample: Sample<'a>) -> Self {
        Self {
            node,
            service: sample.service,
            id: node.rollouts.lock().start(sample, node.now()),
            counted: false,
        }
    }
}

impl<S, H, C> Drop for Observation<'_, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(id) = self.id {
            let now = self.node.now();
            let mut rollouts = self.node.rollouts.lock();
            rollouts.finish(self.service, id, self.counted, now);
        }
    }
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns a connection to the pool for the idle timeout that the server named, less a margin,
    /// or for [`DEFAULT_KEEP_ALIVE`].
    pub(crate) fn keep_connection(
        &self,
        address: SocketAddr,
        connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let keep_for =
            idle_timeout.map_or(DEFAULT_KEEP_ALIVE, |time| time.mul_f64(KEEP_ALIVE_FRACTION));
        self.idle
            .put_until(address, connection, self.now() + keep_for);
    }

    /// Sends a request to the server `key`. Returns `None` if the table has no such server.
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
        let sample = Sample {
            service: &service,
            version: &version,
            route: outgoing.route,
            objective: outgoing.objective,
        };
        let mut observation = Observation::start(self, sample);
        let mut in_flight = InFlight::start(self, key, outgoing);
        let time_left = outgoing.deadline.since(sent_at);
        let timeout = async {
            self.clock.sleep(time_left).await;
            AttemptOutcome::TimedOut
        };
        let exchange = self.exchange(address, &server, &mut in_flight);
        let outcome = smol::future::or(exchange, timeout).await;
        in_flight.set_outcome(&outcome);
        let counted = outgoing.usage.zip(in_flight.counted);
        if let Some((usage, counted)) = counted.filter(|_| outcome.has_not_run()) {
            self.withdraw_usage(usage, counted);
        }
        let now = self.now();
        let duration = now.since(sent_at);
        match &outcome {
            AttemptOutcome::Unreachable(_) => self.record_connection_failure(key, address, false),
            AttemptOutcome::Indeterminate(_) => self.record_connection_failure(key, address, true),
            AttemptOutcome::Answered(answer, metadata) if answer.status < 500 => {
                let slowdown_percent = metadata
                    .report
                    .map_or(NORMAL_SLOWDOWN_PERCENT, |r| r.slowdown_percent);
                let factor = f64::from(slowdown_percent) / f64::from(NORMAL_SLOWDOWN_PERCENT);
                self.service_times
                    .record(outgoing.route, outgoing.objective, duration, factor);
                if let Some(backend) = self.table.lock().get_mut(key) {
                    backend.record_latency(duration);
                }
            }
            _ => {}
        }
        if !outcome.has_not_run() {
            let mut rollouts = self.rollouts.lock();
            rollouts.count(sample, outcome.is_failure(), duration);
        }
        // A request that did not run tells nothing about the version's speed.
        observation.counted = true;
        self.metrics.attempt(&service, outcome.name());
        Some(AttemptResult {
            outcome,
            duration,
            matching: in_flight.matching.map(|matching| Matching {
                skipped_responses: in_flight.skipped_responses.load(Ordering::Acquire),
                ..matching
            }),
        })
    }

    fn record_connection_failure(&self, key: Key, address: SocketAddr, connected: bool) {
        self.idle.forget(address);
        if let Some(backend) = self.table.lock().get_mut(key) {
            backend.record_connection_failure(connected, self.now());
            if !connected {
                backend.record_unreachable(self.identity.boot, self.now());
            }
        }
    }

    async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        server: &str,
        in_flight: &mut InFlight<'_, S, H, C>,
    ) -> AttemptOutcome {
        let outgoing = in_flight.outgoing;
        let idle = if outgoing.idempotent {
            IDEMPOTENT_MAX_IDLE
        } else {
            NON_IDEMPOTENT_MAX_IDLE
        };
        let timeout = async {
            self.clock.sleep(CONNECT_TIMEOUT).await;
            Err(client::Error::Connect(std::io::ErrorKind::TimedOut.into()))
        };
        let taking = self.idle.take_for(address, idle, outgoing.id);
        let connection = smol::future::or(taking, timeout).await;
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => return AttemptOutcome::Unreachable(error),
        };
        // Nothing is awaited from here until the request is written.
        let config = self.config.load_full();
        let tenancy = match outgoing.access.check_and_send(self, &config) {
            Ok(tenancy) => tenancy,
            Err(refusal) => return AttemptOutcome::Denied(refusal),
        };
        let time_left = outgoing.deadline.since(self.now());
        let headers =
            self.codec
                .request_headers(&outgoing.request.headers, time_left, server, tenancy);
        let request = client::Request {
            method: &outgoing.request.method,
            target: &outgoing.request.target,
            host: &outgoing.request.host,
            headers: &headers,
            body: &outgoing.request.body,
        };
        let mut matching = Matching::new(&connection);
        in_flight.matching = Some(matching);
        let skipped_responses = &in_flight.skipped_responses;
        let is_response = |answer: &Response| {
            let named = self.codec.parse_response(&answer.headers).request_id;
            let is_response = matching.accepts(answer.status, named.as_deref(), outgoing.id);
            if !is_response {
                skipped_responses.fetch_add(1, Ordering::AcqRel);
                self.metrics.skipped_response();
            }
            is_response
        };
        let sent_at = self.now();
        in_flight.unanswered_since = Some(sent_at);
        in_flight.counted = outgoing
            .usage
            .and_then(|usage| self.count_usage(usage, tenancy));
        let exchange = connection
            .exchange_matching(&request, RESPONSE_LIMITS, is_response)
            .await;
        in_flight.unanswered_since = None;
        let event = &mut in_flight.event;
        match exchange {
            Ok(exchange) => {
                let metadata = self.codec.parse_response(&exchange.response.headers);
                let is_named = metadata.request_id.is_some();
                matching.names_request = Some(is_named);
                in_flight.matching = Some(matching);
                // If the server repeated a response that names no request, it would be taken for
                // that to the next one.
                let connection = exchange.connection.filter(|_| is_named);
                if exchange.response.status != MISDIRECTED {
                    self.record_pause(event.server, &exchange.response);
                    event.limit = self.record_limit(event.server, metadata.limit);
                    event.leaving = self.record_leaving(event.server, metadata.leaving);
                }
                let mut outcome = AttemptOutcome::of(exchange.response, metadata, outgoing.id);
                if !matching.is_certain() {
                    outcome = outcome.if_uncertain(outgoing.id);
                }
                let repeated_id = outgoing.id.filter(|_| outcome.may_be_sent_again());
                let connection = connection.and_then(|connection| match repeated_id {
                    Some(id) => connection.with_answered(id),
                    None => Some(connection),
                });
                if let Some(connection) = connection {
                    self.keep_connection(address, connection, exchange.keep_alive_timeout);
                }
                if matches!(outcome, AttemptOutcome::Answered(..)) {
                    outgoing.answered.store(true, Ordering::Release);
                    // A server that fails requests need not have run them.
                    if !outcome.is_failure() {
                        self.record_completion(outgoing.request);
                    }
                }
                outcome
            }
            Err(client::Error::InvalidRequest) => {
                AttemptOutcome::Unreachable(client::Error::InvalidRequest)
            }
            Err(error) => {
                if error.is_disconnect() {
                    let request = outgoing.request.fingerprint(&self.codec);
                    self.record_broken_connection(event.server, request, sent_at);
                }
                AttemptOutcome::Indeterminate(indeterminate_reason(&error))
            }
        }
    }
}

/// Returns the log text for an exchange that failed after the request may have arrived.
fn indeterminate_reason(error: &client::Error) -> &'static str {
    match error {
        client::Error::Broken(_) => "the connection failed",
        client::Error::Truncated { .. } => "the response is truncated",
        client::Error::Mismatched => "only responses to other requests arrived",
        client::Error::TooLarge { .. } => "the response is too large",
        client::Error::OutOfMemory => "too many large responses arrive at the same time",
        _ => "the response is malformed",
    }
}
