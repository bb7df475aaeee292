//! One span of a call, which may be unrecorded.

use opentelemetry::trace::{Span as _, Status};
use opentelemetry::{KeyValue, Value};
use opentelemetry_sdk::trace;

use super::Parent;

/// One span of a call. It ends when it is dropped.
#[derive(Debug, Default)]
pub(crate) struct Span {
    /// `None` if the span is not recorded.
    recorded: Option<trace::Span>,
    parent: Parent,
}

impl Span {
    /// Wraps a started span, which is recorded if the sampler decided so.
    pub(super) fn started(span: trace::Span) -> Self {
        let parent = Parent(Some(span.span_context().clone()));
        let recorded = span.is_recording().then_some(span);
        Self { recorded, parent }
    }

    /// Returns an unrecorded span, whose children have `parent` as their parent.
    pub(super) fn unrecorded(parent: &Parent) -> Self {
        Self {
            recorded: None,
            parent: parent.clone(),
        }
    }

    /// Returns the parent for child spans.
    pub(crate) fn parent(&self) -> &Parent {
        &self.parent
    }

    /// Returns whether the span is recorded.
    pub(crate) fn is_recorded(&self) -> bool {
        self.recorded.is_some()
    }

    /// Sets an attribute. `value` is called only if the span is recorded.
    pub(crate) fn set<F, V>(&mut self, key: &'static str, value: F)
    where
        F: FnOnce() -> V,
        V: Into<Value>,
    {
        if let Some(span) = &mut self.recorded {
            span.set_attribute(KeyValue::new(key, value()));
        }
    }

    /// Sets the span's status to an error with `reason` as its description.
    pub(crate) fn fail(&mut self, reason: &'static str) {
        if let Some(span) = &mut self.recorded {
            span.set_status(Status::error(reason));
        }
    }
}
