//! Who holds a claim.

use contract::id;
use serde::{Deserialize, Serialize};

/// One call at one instance.
///
/// The number makes a release name one claim: a repeated or late release of an earlier claim by the
/// same instance must not free a later one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// The instance that asks.
    pub instance: id::Instance,
    /// The number of the call at that instance, never used twice.
    pub call: u64,
}
