//! Records of the log.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMilliSeconds};

use crate::claimant::Claimant;
use crate::entry::Entry;
use crate::history::History;
use crate::key::Key;

/// The longest response that is kept for resends. Longer ones are dropped, and only the status is
/// kept.
pub const MAX_RESPONSE_BYTES: usize = 4096;

/// Upper bound of the encoded size of a record without its response and names.
const MAX_BASE_BYTES: usize = 128;

/// How a claimed call ended.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A backend server sent a complete response.
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
    /// Returns the outcome, without its response if that is longer than [`MAX_RESPONSE_BYTES`].
    pub(crate) fn bounded(self) -> Self {
        match self {
            Outcome::Complete { status, response } => Outcome::Complete {
                status,
                response: response.filter(|r| r.len() <= MAX_RESPONSE_BYTES),
            },
            Outcome::Unknown => Outcome::Unknown,
        }
    }

    /// Returns the size of the response in bytes.
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
    /// A new owner took over the log and writes it from here on.
    Takeover {
        /// The new owner.
        owner: id::Instance,
        /// Whether the log holds every claim made before the takeover.
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
        /// The call that reported the outcome.
        claimant: Claimant,
        /// The outcome.
        outcome: Outcome,
    },
    /// A claim was released: its call did not run and will not.
    Release {
        /// The key.
        key: Key,
        /// The holder of the claim.
        claimant: Claimant,
    },
    /// An entry was copied to the end of the log, so that older segments can be removed.
    Copy {
        /// The key.
        key: Key,
        /// The entry as it was when copied.
        entry: Entry,
    },
    /// The log from segment `start` on holds all entries. Earlier segments are no longer needed.
    Snapshot {
        /// The first segment that is still needed.
        start: u64,
        /// The log time until which claims made before it may be missing, stored in milliseconds.
        #[serde(rename = "uncertain")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        uncertain_until: Duration,
    },
}

impl Record {
    /// Returns the key that the record concerns, if any.
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
        MAX_BASE_BYTES
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
