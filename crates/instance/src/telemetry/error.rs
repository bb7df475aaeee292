//! Why telemetry cannot be opened.

use thiserror::Error;

/// Why telemetry cannot be opened.
#[derive(Debug, Error)]
pub enum Error {
    /// The metrics cannot be served.
    #[error("metrics cannot be served: {0}")]
    Metrics(#[source] opentelemetry_sdk::error::OTelSdkError),
    /// The exporter of traces cannot be built.
    #[error("traces cannot be exported: {0}")]
    Traces(#[from] opentelemetry_otlp::ExporterBuildError),
}
