//! A move of a service's traffic from one version to another.

use serde::{Deserialize, Serialize};

use crate::id;

/// A move of a service's traffic from one version to another, to end by a deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rollout {
    /// The version that carries the traffic now.
    pub from: id::Version,
    /// The version that is to carry it.
    pub to: id::Version,
    /// The first share of the new version, above 0 and up to 1.
    pub first_share: f64,
    /// When the move must be done or taken back, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
}
