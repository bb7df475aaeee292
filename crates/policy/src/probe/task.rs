//! An order to probe a server.

use clock::Instant;

use crate::credit::Credit;

/// An order to probe a server. Its credit is returned with the feedback, as any other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The credit that the probe spends; it names the server.
    pub credit: Credit,
    /// When the credit expires on the owner's clock.
    pub expires: Instant,
}
