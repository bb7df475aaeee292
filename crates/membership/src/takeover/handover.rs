//! The word of an actor that hands a key over.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::epoch::Epoch;
use crate::vote::Release;

/// The word of an actor that hands a key over. It comes with the list of live credits.
///
/// An actor gives it only while it has authority and is ready itself, and grants nothing on the key
/// afterwards. [`crate::authority::Authority::resign`] and
/// [`crate::authority::Authority::hand_over`] return it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The epoch in which the actor acted.
    pub epoch: Epoch,
    /// Allows members to support the successor on the same duty at once.
    #[serde(rename = "relief")]
    pub release: Release,
    /// How long the actor's authority would have lasted yet.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub remaining: Duration,
}
