//! Errors that prevent the daemon from starting.

use std::net::SocketAddr;

use thiserror::Error;

/// Errors that prevent the daemon from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen at {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error from binding it.
        source: std::io::Error,
    },
    /// Telemetry cannot be set up.
    #[error(transparent)]
    Telemetry(#[from] crate::telemetry::Error),
    /// The handler for termination signals cannot be installed.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] std::io::Error),
}
