//! The release of a duty by its actor.

use contract::id;
use serde::{Deserialize, Serialize};

/// The confirmation that an actor has stopped acting on a duty, given to its successor.
///
/// The actor sends it only after it has given up its authority. It never again uses an answer to a
/// heartbeat numbered `sequence` or lower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The actor that released the duty.
    pub actor: id::Instance,
    /// The number of its last heartbeat.
    pub sequence: u64,
}
