//! What a ledger knows of a key.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMilliSeconds};

use crate::claimant::Claimant;
use crate::record::Outcome;

/// What a ledger knows of a key.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The digest of the request; absent when only the outcome was reported.
    #[serde_as(as = "Option<Bytes>")]
    pub digest: Option<[u8; 16]>,
    /// The holder of the claim, or whoever reported the outcome.
    pub claimant: Claimant,
    /// The outcome, once it is known.
    pub outcome: Option<Outcome>,
    /// When the entry last changed, in log time and milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time: Duration,
}
