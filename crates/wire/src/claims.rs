//! Claims on idempotency keys.

use std::time::Duration;

use claim::claimant::Claimant;
use claim::key::Key;
use claim::record::{Outcome, Record};
use claim::shard::Shard;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMicroSeconds};

use crate::trace;

/// A request for a claim.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The shard of the key.
    pub shard: Shard,
    /// The key.
    pub key: Key,
    /// The digest of method, path and body.
    #[serde_as(as = "Bytes")]
    pub digest: [u8; 16],
    /// The number of the caller's attempt, where the caller says it.
    pub attempt: Option<u32>,
    /// The call that asks.
    pub claimant: Claimant,
    /// How long the owner may hold its reply back.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "wait")]
    pub max_wait: Duration,
    /// The span of the call that asks, where the call is traced.
    #[serde(default)]
    pub trace: Option<trace::Context>,
}

/// The answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The call may be dispatched once.
    Run,
    /// The key's call is complete; this is its outcome.
    Replay(Outcome),
    /// The key's call may have run.
    Unknown,
    /// Another call holds the claim and has not ended.
    Running,
    /// The key was used for another request.
    Mismatch,
    /// No claim was taken, and no earlier attempt was made.
    Refused,
    /// The instance does not act on the shard. No claim was taken.
    NotOwner,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It has this outcome.
    Finished(Outcome),
    /// Nothing ran, and nothing will.
    Released,
}

/// The report of how a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The shard of the key.
    pub shard: Shard,
    /// The key.
    pub key: Key,
    /// The call.
    pub claimant: Claimant,
    /// How it ended.
    pub end: End,
}

/// Claims of a shard that goes to another owner which are not in the log yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unsaved {
    /// The shard.
    pub shard: Shard,
    /// The records, in order.
    pub records: Vec<Record>,
}
