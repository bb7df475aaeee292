//! The state of a member of the roster.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::id;

/// A member of the roster, as seen by the reporting instance.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// The name of the member.
    pub name: id::Instance,
    /// The time since its last heartbeat, in milliseconds; absent if none has arrived.
    #[serde(rename = "last-heard-ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub last_heard: Option<Duration>,
}
