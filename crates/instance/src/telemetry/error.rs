//! Errors of setting up telemetry.

use thiserror::Error;

/// An error of setting up metrics or traces.
#[derive(Debug, Error)]
pub enum Error {
    /// The Prometheus exporter cannot be built.
    #[error("metrics cannot be served: {0}")]
    Metrics(#[source] opentelemetry_sdk::error::OTelSdkError),
    /// The trace exporter cannot be built.
    #[error("traces cannot be exported: {0}")]
    Traces(#[from] opentelemetry_otlp::ExporterBuildError),
}
