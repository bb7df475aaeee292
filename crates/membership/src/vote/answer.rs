//! An answer to a request for support.

use serde::{Deserialize, Serialize};

use crate::epoch::Epoch;
use crate::vote::Refusal;

/// A member's answer to a request for support.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The voter's epoch.
    pub epoch: Epoch,
    /// Whether the voter supports the actor for a lease from this answer.
    pub supported: bool,
    /// The reason, if the voter does not support the actor.
    #[serde(default)]
    pub refusal: Option<Refusal>,
}

impl Answer {
    /// Returns an answer that grants support.
    pub(super) fn support(epoch: Epoch) -> Self {
        Self {
            epoch,
            supported: true,
            refusal: None,
        }
    }

    /// Returns an answer that refuses support.
    pub(super) fn refuse(epoch: Epoch, refusal: Refusal) -> Self {
        Self {
            epoch,
            supported: false,
            refusal: Some(refusal),
        }
    }
}
