//! The word of an actor that gave way.

use contract::id;
use serde::{Deserialize, Serialize};

/// The word of an actor that has stopped acting on a duty, given to its successor.
///
/// The actor gives it only after it has dropped its authority, and never uses an answer to a
/// heartbeat numbered `sequence` or lower again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The actor that gave way.
    pub actor: id::Instance,
    /// The number of its last heartbeat.
    pub sequence: u64,
}
