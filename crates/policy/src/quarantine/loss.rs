//! A response that was lost.

use clock::Instant;

use super::Fingerprint;

/// A response that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The request.
    pub request: Fingerprint,
    /// When the server was last known to run.
    pub alive_at: Instant,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the connection broke. `None` if the server fell silent.
    pub broke_at: Option<Instant>,
}

impl Loss {
    /// Returns whether a probe that was sent at `probed_at` tells whether the server crashed.
    pub fn is_explained_by(&self, probed_at: Instant) -> bool {
        self.broke_at.unwrap_or(self.sent_at) <= probed_at
    }

    /// Returns by when the server had crashed if it did not answer a probe sent at `probed_at`.
    pub fn crashed_by(&self, probed_at: Instant) -> Instant {
        self.broke_at.unwrap_or(probed_at)
    }
}
