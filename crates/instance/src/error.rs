//! Why a daemon could not start.

use std::net::SocketAddr;

use thiserror::Error;

/// Why a daemon could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// Telemetry cannot be opened.
    #[error(transparent)]
    Telemetry(#[from] crate::telemetry::Error),
    /// The signals that ask to stop cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] std::io::Error),
}
