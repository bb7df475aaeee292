//! Whether a log holds every claim made before it was taken over.

use serde::{Deserialize, Serialize};

/// Whether a log holds every claim made before it was taken over.
///
/// An owner that claims in memory while the store is down takes these claims with it when it dies.
/// The log cannot show that. The next owner must learn it elsewhere: from the owner that hands over,
/// or from the majority whose support an owner needed while it claimed in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum History {
    /// No earlier owner held a claim that is not in the log.
    Complete,
    /// An earlier owner may have held claims in memory alone.
    Uncertain,
}
