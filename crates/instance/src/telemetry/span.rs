//! One hop of a call.

use opentelemetry::trace::{Span as _, Status};
use opentelemetry::{KeyValue, Value};
use opentelemetry_sdk::trace;

use super::Parent;

/// One hop of a call. It ends when it is dropped.
#[derive(Debug, Default)]
pub(crate) struct Span {
    /// The span, where it is recorded.
    recorded: Option<trace::Span>,
    parent: Parent,
}

impl Span {
    /// Returns a span that is recorded if the sampler says so.
    pub(super) fn started(span: trace::Span) -> Self {
        let parent = Parent(Some(span.span_context().clone()));
        let recorded = span.is_recording().then_some(span);
        Self { recorded, parent }
    }

    /// Returns a span that is not recorded, under `parent`.
    pub(super) fn silent(parent: &Parent) -> Self {
        Self {
            recorded: None,
            parent: parent.clone(),
        }
    }

    /// Returns what the spans of the next hop belong under.
    pub(crate) fn parent(&self) -> &Parent {
        &self.parent
    }

    /// Returns whether anything is recorded.
    pub(crate) fn is_recorded(&self) -> bool {
        self.recorded.is_some()
    }

    /// Sets an attribute. The value is computed only where it is recorded.
    pub(crate) fn set<F, V>(&mut self, key: &'static str, value: F)
    where
        F: FnOnce() -> V,
        V: Into<Value>,
    {
        if let Some(span) = &mut self.recorded {
            span.set_attribute(KeyValue::new(key, value()));
        }
    }

    /// Marks the hop as failed, for `reason`.
    pub(crate) fn fail(&mut self, reason: &'static str) {
        if let Some(span) = &mut self.recorded {
            span.set_status(Status::error(reason));
        }
    }
}
