//! How long what an earlier actor did can matter.

use std::time::Duration;

/// How long what an earlier actor did can matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long support lasts.
    pub lease: Duration,
    /// The most that two clocks drift apart during the longest of these times.
    pub margin: Duration,
    /// How long a request may be dispatched on a credit.
    pub credit_ttl: Duration,
    /// The longest time limit of the pool's routes.
    pub time_limit: Duration,
}

impl Limits {
    /// Returns the longest time for which authority outlasts the last support.
    pub(super) fn authority_lifetime(&self) -> Duration {
        self.lease + self.margin
    }

    /// Returns the longest time for which a credit is live after its grant. The actor that granted it
    /// counts it for as long, with the margin, since the entry's clock may be the slower one.
    pub fn credit_lifetime(&self) -> Duration {
        self.credit_ttl + self.time_limit + self.margin
    }
}
