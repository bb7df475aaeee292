//! A request for support.

use contract::id;
use serde::{Deserialize, Serialize};

use crate::duty::Duty;
use crate::epoch::Epoch;
use crate::vote::Release;

/// A request for support, sent with each heartbeat of an actor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The actor's epoch.
    pub epoch: Epoch,
    /// What the actor acts on.
    pub duty: Duty,
    /// The owner of the duty or a deputy.
    pub actor: id::Instance,
    /// The number of the heartbeat. An instance never uses a number twice.
    pub sequence: u64,
    /// The word of the actor that gave way to this one, if one did.
    #[serde(default, rename = "relief")]
    pub release: Option<Release>,
}
