//! Records the span and the metrics of one call, from its arrival to its response.

use clock::{Clock, Instant};
use contract::id;
use opentelemetry::trace::SpanKind;
use opentelemetry::KeyValue;
use platform::Store;

use super::{Parent, Span, Stopwatch};
use crate::node::Node;
use crate::server::{Request, Response, OUTCOME_HEADER};

/// The label value for an unknown service, route or outcome.
const NONE: &str = "none";

/// The outcome of a call whose caller disconnected before the response.
const ABANDONED: &str = "abandoned";

/// Records one call, from its arrival to its response. The metrics are updated on drop, so a call
/// that is cancelled is counted too.
pub(crate) struct Recorder<'a, S, C>
where
    S: Store,
    C: Clock,
{
    node: &'a Node<S, C>,
    arrived_at: Instant,
    span: Span,
    attempts: Stopwatch,
    names: Option<(id::Service, id::Route)>,
    outcome: &'static str,
}

impl<'a, S, C> Recorder<'a, S, C>
where
    S: Store,
    C: Clock,
{
    /// Starts to record the call at the arrival of `request`.
    pub(crate) fn start(node: &'a Node<S, C>, request: &Request) -> Self {
        let tracer = &node.telemetry.tracer;
        let mut span = tracer.root("entry", SpanKind::Server, &Parent::from_request(request));
        span.set("http.request.method", || request.method);
        Self {
            node,
            arrived_at: node.now(),
            span,
            attempts: Stopwatch::default(),
            names: None,
            outcome: ABANDONED,
        }
    }

    /// Records the service and the route of the call.
    pub(crate) fn set_route(&mut self, service: &id::Service, route: &id::Route) {
        self.span.set("chivewheel.service", || service.to_string());
        self.span.set("chivewheel.route", || route.to_string());
        self.names = Some((service.clone(), route.clone()));
    }

    /// Returns the parent for the call's further spans.
    pub(crate) fn parent(&self) -> Parent {
        self.span.parent().clone()
    }

    /// Returns the stopwatch to which the call's attempts add their durations.
    pub(crate) fn attempts(&self) -> Stopwatch {
        self.attempts.clone()
    }

    /// Records the status and the outcome of the response.
    pub(crate) fn record_response(&mut self, response: &Response) {
        let status = i64::from(response.status);
        self.span.set("http.response.status_code", || status);
        self.outcome = outcome(response);
    }
}

impl<S, C> Drop for Recorder<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        let duration = self.node.now() - self.arrived_at;
        let added = duration.saturating_sub(self.attempts.total());
        let (service, route) = match &self.names {
            Some((service, route)) => (service.to_string(), route.to_string()),
            None => (NONE.to_owned(), NONE.to_owned()),
        };
        let labels = [
            KeyValue::new("service", service),
            KeyValue::new("route", route),
            KeyValue::new("outcome", self.outcome),
        ];
        let outcome = self.outcome;
        self.span.set("chivewheel.outcome", || outcome);
        self.node
            .telemetry
            .metrics
            .record_call(&labels, duration, added);
    }
}

/// Returns the outcome in the response headers, or [`NONE`] if there is no known one.
fn outcome(response: &Response) -> &'static str {
    use crate::outcome::Outcome;
    let all = [Outcome::Complete, Outcome::NotRun, Outcome::Unknown];
    let mut headers = response.headers.iter();
    let header = headers.find(|(name, _)| name.eq_ignore_ascii_case(OUTCOME_HEADER));
    let value = header.map(|(_, value)| value.as_slice());
    let reported = all
        .iter()
        .find(|outcome| Some(outcome.as_str().as_bytes()) == value);
    reported.map_or(NONE, |outcome| outcome.as_str())
}
