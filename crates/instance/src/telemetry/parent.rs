//! The span that the next ones belong under.

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use opentelemetry::Context;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use wire::trace;

use super::headers::Headers;
use crate::server::Request;

/// The header that carries a trace context, by W3C Trace Context.
pub(crate) const HEADER: &str = "traceparent";

/// The span that the next ones belong under, where the call is traced at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Parent(pub(super) Option<SpanContext>);

impl Parent {
    /// Returns what the caller's headers say.
    pub(crate) fn from_request(request: &Request) -> Self {
        if request.header(HEADER).is_none() {
            return Self::default();
        }
        let context =
            TraceContextPropagator::new().extract_with_context(&Context::new(), &Headers(request));
        let span = context.span().span_context().clone();
        Self(span.is_valid().then_some(span))
    }

    /// Returns what a message of another instance says.
    pub(crate) fn from_wire(context: Option<trace::Context>) -> Self {
        let span = context.map(|context| {
            SpanContext::new(
                TraceId::from_bytes(context.trace),
                SpanId::from_bytes(context.span),
                TraceFlags::new(context.flags),
                true,
                TraceState::default(),
            )
        });
        Self(span.filter(SpanContext::is_valid))
    }

    /// Returns what a message to another instance says.
    pub(crate) fn to_wire(&self) -> Option<trace::Context> {
        let span = self.0.as_ref()?;
        Some(trace::Context {
            trace: span.trace_id().to_bytes(),
            span: span.span_id().to_bytes(),
            flags: span.trace_flags().to_u8(),
        })
    }

    /// Returns the value of the header for a backend server.
    pub(crate) fn header(&self) -> Option<String> {
        const VERSION: u8 = 0;
        let span = self.0.as_ref()?;
        let (trace, id) = (span.trace_id(), span.span_id());
        let flags = span.trace_flags().to_u8();
        Some(format!("{VERSION:02x}-{trace}-{id}-{flags:02x}"))
    }

    /// Returns whether spans under this one are recorded.
    pub(super) fn is_sampled(&self) -> bool {
        self.0.as_ref().is_some_and(SpanContext::is_sampled)
    }

    /// Returns the context as the library takes it.
    pub(super) fn context(&self) -> Context {
        match &self.0 {
            Some(span) => Context::new().with_remote_span_context(span.clone()),
            None => Context::new(),
        }
    }
}
