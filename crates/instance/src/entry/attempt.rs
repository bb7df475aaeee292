//! Dispatches a request on a credit.

use std::time::Duration;

use client::{Delivery, Limits, Response};
use clock::{Clock, Instant};
use opentelemetry::trace::SpanKind;
use platform::Store;
use policy::feedback::{Feedback, Outcome, StartId};

use super::acquire;
use super::call::{Call, DEADLINE_HEADER};
use super::credit::Guard;
use crate::node::Node;
use crate::server::Request;
use crate::telemetry::{self, Parent, Span};

/// The header that identifies an attempt. A backend server may echo it.
const ATTEMPT_ID_HEADER: &str = "Chivewheel-Attempt-Id";

/// The header in which a backend server identifies its current run.
const START_HEADER: &str = "Chivewheel-Start";

/// The header in which a backend server announces that it is draining.
const DRAINING_HEADER: &str = "Chivewheel-Leaving";

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// A complete response.
    Whole(Response),
    /// A complete response that rejects the request because of the server's load.
    Shed(Response),
    /// A complete response that rejects a request, perhaps another one sent on the connection.
    Unattributed,
    /// Nothing was sent.
    Unsent,
    /// No complete response arrived, and the request may have run.
    Lost {
        /// Whether the connection was reset, as it is when the server process exits.
        crashed: bool,
    },
}

/// A complete response.
struct Received {
    response: Response,
    /// Whether the response belongs to the attempt: it names it, or is the first one on its
    /// connection.
    is_attributed: bool,
}

/// Why there is no response.
enum Failure {
    Exchange(client::Error),
    ConnectTimeout,
    Timeout,
    /// The credit expired before the request could be sent.
    Expired,
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Dispatches `request` on the credit `held`, and releases the credit with the attempt's
    /// feedback.
    pub(crate) async fn dispatch(
        &self,
        call: &Call,
        request: &Request,
        held: Guard<S, C>,
    ) -> Attempt {
        let started = self.now();
        let tracer = &self.telemetry.tracer;
        let mut span = tracer.child("attempt", SpanKind::Client, &call.trace);
        span.set("chivewheel.server", || held.credit.server.to_string());
        let call = call.with_parent(&span);
        let call = &*call;
        let id = format!("{:x}-{:x}", self.run_id(), held.credit.id.0);
        let mut unfinished = Unfinished {
            call,
            held: Some(held),
            started,
            node: self,
        };
        let result = match &unfinished.held {
            Some(held) => self.send(call, request, held, &id).await,
            None => Err(Failure::Expired),
        };
        if let Some(held) = unfinished.held.take() {
            let latency = self.now() - started;
            call.attempts.add(latency);
            record_result(&mut span, &result);
            if result.is_ok() {
                self.latencies.observe(&call.service, &call.route, latency);
            }
            finish(held, &result, call, latency);
        }
        match result {
            Ok(received) if !is_shed(&received.response) => Attempt::Whole(received.response),
            Ok(received) if received.is_attributed => Attempt::Shed(received.response),
            Ok(_) => Attempt::Unattributed,
            Err(failure) => failure.attempt(),
        }
    }

    /// Returns the mean duration of an attempt on the route of `call`.
    pub(super) fn expected_duration(&self, call: &Call) -> Duration {
        self.latencies.mean(&call.service, &call.route)
    }

    async fn send(
        &self,
        call: &Call,
        request: &Request,
        held: &Guard<S, C>,
        id: &str,
    ) -> Result<Received, Failure> {
        let connection = self.connect(call, held).await?;
        let is_new = connection.usage().requests == 0;
        let now = self.now();
        if !acquire::is_usable(held.expires, now)
            || now + self.expected_duration(call) >= call.deadline
        {
            return Err(Failure::Expired);
        }
        let end = call.deadline.min(now + call.time_limit);
        let headers = self.headers(request, end - now, id, &call.trace);
        let outgoing = client::Request {
            method: request.method,
            target: &request.target,
            host: request.header("host").unwrap_or_default(),
            headers: &headers,
            body: &request.body,
        };
        let limits = Limits {
            max_body_bytes: self.settings.limits.answer_body,
            ..Limits::default()
        };
        let timeout = async {
            self.clock.sleep_until(end).await;
            Err(Failure::Timeout)
        };
        let exchange = async {
            let result = connection.exchange(&outgoing, limits).await;
            result.map_err(Failure::Exchange)
        };
        let (answer, connection) = smol::future::or(exchange, timeout).await?;
        // After a response to another attempt, the one to this attempt may still arrive.
        let names_attempt = names_attempt(&answer, id)?;
        // If the server repeated a rejection that names no attempt, it would be taken for that of
        // the next one.
        let is_kept = names_attempt || !is_shed(&answer);
        if let Some(connection) = connection.filter(|_| is_kept) {
            self.connections.put(held.address, connection);
        }
        Ok(Received {
            response: answer,
            is_attributed: names_attempt || is_new,
        })
    }

    /// Returns a connection to the backend server of `held`.
    async fn connect(
        &self,
        call: &Call,
        held: &Guard<S, C>,
    ) -> Result<client::Connection, Failure> {
        /// Backend servers close idle connections, but rarely within a second of their last use. A
        /// call that is not idempotent takes only such a connection.
        const MAX_IDLE: Duration = Duration::from_secs(20);
        const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);
        let max_age = if call.idempotent {
            MAX_IDLE
        } else {
            MAX_IDLE_NON_IDEMPOTENT
        };
        let limit = self.settings.times.connect;
        let timeout = async {
            self.clock.sleep(limit).await;
            Err(Failure::ConnectTimeout)
        };
        let connect = async {
            self.connections
                .take(held.address, max_age)
                .await
                .map_err(Failure::Exchange)
        };
        smol::future::or(connect, timeout).await
    }

    fn headers(
        &self,
        request: &Request,
        left: Duration,
        id: &str,
        trace: &Parent,
    ) -> Vec<(String, Vec<u8>)> {
        let trace = trace.header();
        let forwarded = request.headers.iter();
        let forwarded = forwarded.filter(|(name, _)| {
            trace.is_none() || !name.eq_ignore_ascii_case(telemetry::TRACE_HEADER)
        });
        let forwarded = forwarded.filter(|(name, _)| {
            let own = [DEADLINE_HEADER, ATTEMPT_ID_HEADER];
            !own.iter().any(|o| name.eq_ignore_ascii_case(o))
        });
        let mut headers: Vec<(String, Vec<u8>)> = forwarded.cloned().collect();
        let left = left.as_millis().to_string();
        headers.push((DEADLINE_HEADER.to_owned(), left.into_bytes()));
        if let Some(trace) = &trace {
            let name = telemetry::TRACE_HEADER.to_owned();
            headers.push((name, trace.as_bytes().to_vec()));
        }
        headers.push((ATTEMPT_ID_HEADER.to_owned(), id.as_bytes().to_vec()));
        headers
    }
}

/// An attempt that has not ended. If dropped, it counts as abandoned.
struct Unfinished<'a, S, C>
where
    S: Store,
    C: Clock,
{
    call: &'a Call,
    held: Option<Guard<S, C>>,
    started: Instant,
    node: &'a Node<S, C>,
}

impl<S, C> Drop for Unfinished<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            let latency = self.node.now() - self.started;
            held.finish(evidence(Outcome::Abandoned, None, self.call, latency));
        }
    }
}

/// Records the result of an attempt in its span.
fn record_result(span: &mut Span, result: &Result<Received, Failure>) {
    match result {
        Ok(received) => {
            let status = received.response.status;
            span.set("http.response.status_code", || i64::from(status));
        }
        Err(failure) => span.fail(telemetry::attempt_label(failure.outcome())),
    }
}

fn finish<S, C>(
    held: Guard<S, C>,
    result: &Result<Received, Failure>,
    call: &Call,
    latency: Duration,
) where
    S: Store,
    C: Clock,
{
    match result {
        Ok(Received { response, .. }) => {
            held.finish(evidence(outcome(response), Some(response), call, latency));
        }
        // Nothing was sent, so there is no feedback about the server.
        Err(Failure::Expired | Failure::Exchange(client::Error::InvalidRequest)) => drop(held),
        Err(failure) => held.finish(evidence(failure.outcome(), None, call, latency)),
    }
}

fn evidence(
    outcome: Outcome,
    answer: Option<&Response>,
    call: &Call,
    latency: Duration,
) -> Feedback {
    let start = answer.and_then(|answer| answer.header(START_HEADER));
    Feedback {
        outcome,
        latency,
        start_id: start.map(start_id),
        route: call.route.clone(),
        fingerprint: Some(call.fingerprint),
        draining: answer.is_some_and(|answer| answer.header(DRAINING_HEADER).is_some()),
    }
}

fn start_id(text: &str) -> StartId {
    StartId(policy::quarantine::Fingerprint::digest(&[text.as_bytes()]).0)
}

fn outcome(answer: &Response) -> Outcome {
    match answer.status {
        _ if is_shed(answer) => Outcome::Shed,
        500.. => Outcome::Failed,
        _ => Outcome::Answered,
    }
}

fn is_shed(answer: &Response) -> bool {
    const TOO_MANY_REQUESTS: u16 = 429;
    const UNAVAILABLE: u16 = 503;
    matches!(answer.status, TOO_MANY_REQUESTS | UNAVAILABLE)
}

/// Returns whether `answer` names the attempt `id`, or an error if it names another one.
fn names_attempt(answer: &Response, id: &str) -> Result<bool, Failure> {
    match answer.header(ATTEMPT_ID_HEADER) {
        Some(echo) if echo != id => Err(Failure::Exchange(client::Error::Malformed)),
        echo => Ok(echo.is_some()),
    }
}

impl Failure {
    fn outcome(&self) -> Outcome {
        match self {
            Failure::ConnectTimeout | Failure::Exchange(client::Error::Connect(_)) => {
                Outcome::Unreachable
            }
            Failure::Exchange(error) if error.is_reset() => Outcome::Crashed,
            Failure::Exchange(_) => Outcome::Failed,
            Failure::Timeout | Failure::Expired => Outcome::TimedOut,
        }
    }

    fn attempt(&self) -> Attempt {
        match self {
            Failure::Expired | Failure::ConnectTimeout => Attempt::Unsent,
            Failure::Exchange(error) if error.delivery() == Delivery::NotSent => Attempt::Unsent,
            Failure::Exchange(error) => Attempt::Lost {
                crashed: error.is_reset(),
            },
            Failure::Timeout => Attempt::Lost { crashed: false },
        }
    }
}
