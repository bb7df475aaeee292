//! Limits on how long the effects of an earlier actor last.

use std::time::Duration;

/// Limits on how long the effects of an earlier actor last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long the support of a member lasts.
    pub lease: Duration,
    /// The greatest drift between two clocks during the longest of these times.
    pub margin: Duration,
    /// How long a request may be dispatched on a credit.
    pub credit_ttl: Duration,
    /// The longest time limit of the pool's routes.
    pub time_limit: Duration,
}

impl Limits {
    /// Returns the longest time for which authority lasts after the last support.
    pub(super) fn authority_lifetime(&self) -> Duration {
        self.lease + self.margin
    }

    /// Returns the longest time for which a credit is live after its grant. It includes the margin,
    /// because the clock of the entry instance may be slower than that of the granting actor, which
    /// counts the credit for this time.
    pub fn credit_lifetime(&self) -> Duration {
        self.credit_ttl + self.time_limit + self.margin
    }
}
