//! Adapts request headers to OpenTelemetry's trace context propagation.

use opentelemetry::propagation::Extractor;

use crate::server::Request;

/// The headers of a request, from which OpenTelemetry's propagators extract a trace context.
pub(super) struct Headers<'a>(pub(super) &'a Request);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.header(key)
    }

    fn keys(&self) -> Vec<&str> {
        self.0
            .headers
            .iter()
            .map(|(name, _)| name.as_str())
            .collect()
    }
}
