//! Why support was refused.

use contract::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why support was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The request is of an earlier epoch than the voter's.
    #[error("the epoch is stale")]
    Stale,
    /// The request is of a later epoch than the voter's, which has to read the roster first.
    #[error("the epoch is not known yet")]
    Ahead,
    /// The voter or the actor is not a member of the epoch.
    #[error("not a member of the epoch")]
    #[serde(rename = "stranger")]
    NotMember,
    /// The duty belongs to no member of the epoch.
    #[error("no such duty in the epoch")]
    #[serde(rename = "vacant")]
    UnknownDuty,
    /// The voter still supports another actor on the duty.
    #[error("{0} is supported")]
    Taken(id::Instance),
    /// A later heartbeat of the same actor was answered before.
    #[error("a later heartbeat was answered before")]
    Reordered,
}
