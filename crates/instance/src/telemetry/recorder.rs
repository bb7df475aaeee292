//! A call as telemetry sees it, from its arrival to its answer.

use clock::{Clock, Instant};
use contract::id;
use opentelemetry::trace::SpanKind;
use opentelemetry::KeyValue;
use platform::Store;

use super::{Parent, Span, Stopwatch};
use crate::node::Node;
use crate::server::{Request, Response, OUTCOME_HEADER};

/// The label of a name that is not known.
const NONE: &str = "none";

/// What became of a call whose caller went away.
const ABANDONED: &str = "abandoned";

/// A call as telemetry sees it, from its arrival to its answer. It is counted when it is dropped.
pub(crate) struct Recorder<'a, S, C>
where
    S: Store,
    C: Clock,
{
    node: &'a Node<S, C>,
    came: Instant,
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
    /// Starts at the arrival of `request`.
    pub(crate) fn start(node: &'a Node<S, C>, request: &Request) -> Self {
        let tracer = &node.telemetry.tracer;
        let mut span = tracer.root("entry", SpanKind::Server, &Parent::from_request(request));
        span.set("http.request.method", || request.method);
        Self {
            node,
            came: node.now(),
            span,
            attempts: Stopwatch::default(),
            names: None,
            outcome: ABANDONED,
        }
    }

    /// Notes which route the call takes.
    pub(crate) fn set_route(&mut self, service: &id::Service, route: &id::Route) {
        self.span.set("chivewheel.service", || service.to_string());
        self.span.set("chivewheel.route", || route.to_string());
        self.names = Some((service.clone(), route.clone()));
    }

    /// Returns what the spans of the call belong under.
    pub(crate) fn parent(&self) -> Parent {
        self.span.parent().clone()
    }

    /// Returns the stopwatch of the call's attempts.
    pub(crate) fn attempts(&self) -> Stopwatch {
        self.attempts.clone()
    }

    /// Notes the answer.
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
        let duration = self.node.now() - self.came;
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

/// Returns what the caller was told, as one of the values of the header.
fn outcome(response: &Response) -> &'static str {
    use crate::outcome::Outcome;
    let all = [Outcome::Complete, Outcome::NotRun, Outcome::Unknown];
    let mut headers = response.headers.iter();
    let header = headers.find(|(name, _)| name.eq_ignore_ascii_case(OUTCOME_HEADER));
    let value = header.map(|(_, value)| value.as_slice());
    let told = all
        .iter()
        .find(|outcome| Some(outcome.as_str().as_bytes()) == value);
    told.map_or(NONE, |outcome| outcome.as_str())
}
