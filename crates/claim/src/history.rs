//! Completeness of a log at a takeover.

use serde::{Deserialize, Serialize};

/// Whether a log holds every claim that was made before a takeover.
///
/// Claims that an owner holds in memory while the store is unavailable are lost if the owner fails.
/// The log does not show this. The next owner must learn it from the owner that hands over, or from
/// the majority of members that the former owner needed for claims in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum History {
    /// The log holds every claim of earlier owners.
    Complete,
    /// An earlier owner may have held claims in memory that are not in the log.
    Uncertain,
}
