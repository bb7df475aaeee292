//! A rollout of a new version of a service.

use serde::{Deserialize, Serialize};

use crate::id;

/// A gradual shift of a service's traffic from one version to another, with a deadline.
///
/// Operators know it as a move: its key in the text of a bundle is `move`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rollout {
    /// The version that carries the traffic now.
    pub from: id::Version,
    /// The new version.
    pub to: id::Version,
    /// The initial share of traffic for the new version, above 0 and up to 1.
    pub first_share: f64,
    /// When the rollout must be complete or rolled back, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
}
