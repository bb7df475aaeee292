//! A probe to send.

use clock::Instant;

use crate::credit::Credit;

/// A probe to send. Its credit is released with feedback like any other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The credit for the probe, which names the server.
    pub credit: Credit,
    /// When the credit expires, on the owner's clock.
    pub expires: Instant,
}
