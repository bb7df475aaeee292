//! Errors at the start of an instance.

use std::net::SocketAddr;

use thiserror::Error;

/// Error at the start of an instance.
#[derive(Debug, Error)]
pub enum Error {
    /// A port cannot be bound.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics cannot be served.
    #[error("cannot serve metrics: {0}")]
    Metrics(#[source] opentelemetry_sdk::error::OTelSdkError),
    /// A series of the metrics cannot be registered.
    #[error("cannot register a metric: {0}")]
    Series(#[source] prometheus::Error),
}
