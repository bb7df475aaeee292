//! Records of the log.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMilliSeconds};

use crate::claimant::Claimant;
use crate::entry::Entry;
use crate::history::History;
use crate::key::Key;

/// The longest answer that is kept for resends, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4096;

/// The size of a record without its answer and names, in bytes, at most.
const BASE_SIZE: usize = 128;

/// How a claimed call ended.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A backend server answered in full.
    Complete {
        /// The status code.
        status: u16,
        /// The response in the encoding of the entry instance; absent if it is longer than
        /// [`MAX_RESPONSE_BYTES`].
        #[serde(rename = "answer")]
        #[serde_as(as = "Option<Bytes>")]
        response: Option<Vec<u8>>,
    },
    /// The call may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome without an answer that is too long to keep.
    pub(crate) fn bounded(self) -> Self {
        match self {
            Outcome::Complete { status, response } => Outcome::Complete {
                status,
                response: response.filter(|r| r.len() <= MAX_RESPONSE_BYTES),
            },
            Outcome::Unknown => Outcome::Unknown,
        }
    }

    /// Returns the size of the answer in bytes.
    fn size(&self) -> usize {
        match self {
            Outcome::Complete { response, .. } => response.as_ref().map_or(0, Vec::len),
            Outcome::Unknown => 0,
        }
    }
}

/// A record of the log.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A new owner writes from here on.
    Takeover {
        /// The new owner.
        owner: id::Instance,
        /// Whether the log holds every claim made before.
        history: History,
    },
    /// A key was claimed.
    Claim {
        /// The key.
        key: Key,
        /// The digest of the request.
        #[serde_as(as = "Bytes")]
        digest: [u8; 16],
        /// The holder of the claim.
        claimant: Claimant,
    },
    /// A claimed call ended.
    Finish {
        /// The key.
        key: Key,
        /// Whoever reported the outcome.
        claimant: Claimant,
        /// The outcome.
        outcome: Outcome,
    },
    /// A claim was given back: nothing ran, and nothing will.
    Release {
        /// The key.
        key: Key,
        /// The holder of the claim.
        claimant: Claimant,
    },
    /// An entry copied forward, so that older segments can be removed.
    Copy {
        /// The key.
        key: Key,
        /// What was known of it.
        entry: Entry,
    },
    /// All that segments below `start` say stands in `start` and the segments after it.
    Snapshot {
        /// The first segment that is still needed.
        start: u64,
        /// Until when the log may lack claims made before it, in log time and milliseconds.
        #[serde(rename = "uncertain")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        uncertain_until: Duration,
    },
}

impl Record {
    /// Returns the key that the record speaks of.
    pub fn key(&self) -> Option<Key> {
        match self {
            Record::Claim { key, .. }
            | Record::Finish { key, .. }
            | Record::Release { key, .. }
            | Record::Copy { key, .. } => Some(*key),
            Record::Takeover { .. } | Record::Snapshot { .. } => None,
        }
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        BASE_SIZE
            + match self {
                Record::Takeover { owner, .. } => owner.as_str().len(),
                Record::Claim { claimant, .. } | Record::Release { claimant, .. } => {
                    claimant.instance.as_str().len()
                }
                Record::Finish {
                    claimant, outcome, ..
                } => claimant.instance.as_str().len() + outcome.size(),
                Record::Copy { entry, .. } => {
                    let response = entry.outcome.as_ref().map_or(0, Outcome::size);
                    entry.claimant.instance.as_str().len() + response
                }
                Record::Snapshot { .. } => 0,
            }
    }
}
