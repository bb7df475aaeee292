//! Claims on idempotency keys: requests, verdicts and the reported outcomes of claimed calls.

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
    /// The idempotency key.
    pub key: Key,
    /// The digest of method, path and body.
    #[serde_as(as = "Bytes")]
    pub digest: [u8; 16],
    /// The number of the caller's attempt, if the caller sent it.
    pub attempt: Option<u32>,
    /// The call that requests the claim.
    pub claimant: Claimant,
    /// How long the owner may delay its reply.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "wait")]
    pub max_wait: Duration,
    /// The span of the call that requests the claim, if the call is traced.
    #[serde(default)]
    pub trace: Option<trace::Context>,
}

/// The owner's decision on a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is granted: the call may be dispatched once.
    Run,
    /// An earlier call with the key has completed with this outcome.
    Replay(Outcome),
    /// An earlier call with the key may have run; its outcome is unknown.
    Unknown,
    /// Another call holds the claim and is still running.
    Running,
    /// The key was used for another request.
    Mismatch,
    /// No claim was recorded, and there was no earlier attempt.
    Refused,
    /// The instance is not the acting owner of the shard. No claim was recorded.
    NotOwner,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It finished with this outcome.
    Finished(Outcome),
    /// It never ran and never will.
    Released,
}

/// Reports how a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The shard of the key.
    pub shard: Shard,
    /// The idempotency key.
    pub key: Key,
    /// The call that holds the claim.
    pub claimant: Claimant,
    /// How the call ended.
    pub end: End,
}

/// Claims that are not in the stored log yet, of a shard handed over to another owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unsaved {
    /// The shard.
    pub shard: Shard,
    /// The records, in the order of the log.
    pub records: Vec<Record>,
}
