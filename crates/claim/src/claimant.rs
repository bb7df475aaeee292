//! Holders of claims.

use contract::id;
use serde::{Deserialize, Serialize};

/// The call that requests or holds a claim.
///
/// The call number ties a release to one claim: a repeated or late release of an earlier claim by
/// the same instance must not release a later one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// The instance that handles the call.
    pub instance: id::Instance,
    /// The number of the call at that instance. Numbers are not reused.
    pub call: u64,
}
