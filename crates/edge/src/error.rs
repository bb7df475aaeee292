//! Why an instance cannot start.

use std::net::SocketAddr;

use thiserror::Error;

/// Why an instance cannot start.
#[derive(Debug, Error)]
pub enum Error {
    /// A port cannot be bound.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The metrics cannot be served.
    #[error("cannot serve metrics: {0}")]
    Metrics(#[source] opentelemetry_sdk::error::OTelSdkError),
}
