//! The load report, which is stale.

use clock::Instant;
use serde::{Deserialize, Serialize};

/// What `/load` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The requests in flight.
    pub in_flight: usize,
    /// The requests executed at once.
    pub slots: usize,
}

/// The last reports, of which the older is shown.
#[derive(Debug, Default)]
pub(super) struct Reports {
    pub(super) published: Report,
    pub(super) next: Report,
    pub(super) sampled_at: Instant,
}
