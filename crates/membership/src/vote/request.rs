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
    /// The duty on which the actor acts.
    pub duty: Duty,
    /// The owner of the duty or a deputy.
    pub actor: id::Instance,
    /// The number of the heartbeat. An instance never reuses a number.
    pub sequence: u64,
    /// The release by the previous actor, if there is one.
    #[serde(default, rename = "relief")]
    pub release: Option<Release>,
}
