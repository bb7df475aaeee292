//! The handover of a key to another actor.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::epoch::Epoch;
use crate::vote::Release;

/// The handover of a key to another actor. It is sent together with the list of live credits.
///
/// An actor sends it only while it has authority and its own takeover is ready, and grants nothing
/// on the key afterwards. [`crate::authority::Authority::resign`] and
/// [`crate::authority::Authority::hand_over`] return it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The epoch in which the actor acted.
    pub epoch: Epoch,
    /// Allows members to support the successor on the same duty immediately.
    #[serde(rename = "relief")]
    pub release: Release,
    /// The time that was left of the actor's authority.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub remaining: Duration,
}
