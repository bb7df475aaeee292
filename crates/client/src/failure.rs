//! Failures of connections that a write has met.

use std::io;
use std::sync::{Arc, OnceLock};

/// The failure of a connection that a write has met, if any. Clones share it.
///
/// The system reports the error that ends a connection to one call only. If that is a write, reads
/// return the bytes that arrived before and then the end of the stream, as if the other side had
/// closed the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failure(Arc<OnceLock<io::ErrorKind>>);

impl Failure {
    /// Records the error of a write, after which the end of the stream proves nothing.
    ///
    /// `EPIPE` is not recorded. Linux reports it for a reset that follows the end of the stream
    /// (`tcp_reset`), so what was received before that end is complete.
    pub(crate) fn record(&self, error: &io::Error) {
        if error.kind() != io::ErrorKind::BrokenPipe {
            // The first error tells how the connection failed.
            let _ = self.0.set(error.kind());
        }
    }

    /// Returns the recorded error.
    pub(crate) fn error(&self) -> Option<io::Error> {
        self.0.get().map(|kind| (*kind).into())
    }
}
