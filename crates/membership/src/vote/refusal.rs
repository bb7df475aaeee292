//! Reasons to refuse support.

use contract::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason why support was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The epoch of the request is earlier than the voter's.
    #[error("the epoch is stale")]
    Stale,
    /// The epoch of the request is later than the voter's, which has to read the roster first.
    #[error("the epoch is not known yet")]
    Ahead,
    /// The voter or the actor is not a member of the epoch.
    #[error("not a member of the epoch")]
    #[serde(rename = "stranger")]
    NotMember,
    /// The duty has the name of no member of the epoch.
    #[error("no such duty in the epoch")]
    #[serde(rename = "vacant")]
    UnknownDuty,
    /// The voter still supports another actor on the duty.
    #[error("{0} is supported")]
    Taken(id::Instance),
    /// The same or a later heartbeat of the actor was answered before.
    #[error("a later heartbeat was answered before")]
    Reordered,
}
