//! The age of a reader's records.

use std::time::Duration;

use balance::record::Kind;
use serde::{Deserialize, Serialize};

/// The age of a reader's records, sent along with its heartbeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Confirmation {
    /// The sender's [`Identity::boot`](super::Identity::boot).
    pub(crate) from: u64,
    /// The store revisions that it has, by [`Kind::index`].
    pub(crate) revisions: [u64; Kind::ALL.len()],
    /// How long before the message was sent these revisions were known to include all changes in the
    /// store, or `None` if they never were.
    pub(crate) ages: [Option<Duration>; Kind::ALL.len()],
}
