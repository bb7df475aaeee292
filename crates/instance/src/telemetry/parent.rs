//! Trace context: the parent span of further spans, in headers and in messages between instances.

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState};
use opentelemetry::Context;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use wire::trace;

use super::headers::Headers;
use crate::server::Request;

/// The header that carries a trace context, as W3C Trace Context defines it.
pub(crate) const HEADER: &str = "traceparent";

/// The parent of further spans. It is empty if the call has no trace context.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Parent(pub(super) Option<SpanContext>);

impl Parent {
    /// Reads the trace context in a caller's headers. It is empty if absent or invalid.
    pub(crate) fn from_request(request: &Request) -> Self {
        if request.header(HEADER).is_none() {
            return Self::default();
        }
        let context =
            TraceContextPropagator::new().extract_with_context(&Context::new(), &Headers(request));
        let span = context.span().span_context().clone();
        Self(span.is_valid().then_some(span))
    }

    /// Converts the trace context in a message from another instance. It is empty if absent or
    /// invalid.
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

    /// Returns the trace context for a message to another instance.
    pub(crate) fn to_wire(&self) -> Option<trace::Context> {
        let span = self.0.as_ref()?;
        Some(trace::Context {
            trace: span.trace_id().to_bytes(),
            span: span.span_id().to_bytes(),
            flags: span.trace_flags().to_u8(),
        })
    }

    /// Returns the value of [`HEADER`] for a request to a backend server.
    pub(crate) fn header(&self) -> Option<String> {
        const VERSION: u8 = 0;
        let span = self.0.as_ref()?;
        let (trace, id) = (span.trace_id(), span.span_id());
        let flags = span.trace_flags().to_u8();
        Some(format!("{VERSION:02x}-{trace}-{id}-{flags:02x}"))
    }

    /// Returns whether children of this span are recorded.
    pub(super) fn is_sampled(&self) -> bool {
        self.0.as_ref().is_some_and(SpanContext::is_sampled)
    }

    /// Converts to the OpenTelemetry type.
    pub(super) fn context(&self) -> Context {
        match &self.0 {
            Some(span) => Context::new().with_remote_span_context(span.clone()),
            None => Context::new(),
        }
    }
}
