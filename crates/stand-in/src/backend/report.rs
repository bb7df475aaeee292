//! The load report, which is published with a delay.

use clock::Instant;
use serde::{Deserialize, Serialize};

/// The load reported by `/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests in flight.
    pub in_flight: usize,
    /// Requests executed concurrently.
    pub slots: usize,
}

/// The last two samples. The older one is published.
#[derive(Debug, Default)]
pub(super) struct Reports {
    pub(super) published: Report,
    pub(super) next: Report,
    pub(super) sampled_at: Instant,
}
