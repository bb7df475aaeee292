//! Entries of the table of claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMilliSeconds};

use crate::claimant::Claimant;
use crate::record::Outcome;

/// The claim on a key and its outcome.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The digest of the request. `None` if only the outcome was reported.
    #[serde_as(as = "Option<Bytes>")]
    pub digest: Option<[u8; 16]>,
    /// The holder of the claim, or the call that reported the outcome.
    pub claimant: Claimant,
    /// The outcome. `None` until it is reported.
    pub outcome: Option<Outcome>,
    /// The log time of the last change, stored in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time: Duration,
}
