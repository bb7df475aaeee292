//! The stored state from which a new lead owner resumes a rollout.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::analysis::Analysis;
use crate::pair::Pair;

/// The stored state from which a new lead owner resumes a rollout.
///
/// Responses since the last checkpoint are lost. Which ones are lost does not depend on how they
/// ended, so the evidence stays valid.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Checkpoint {
    /// The time since the rollout began, written in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) elapsed: Duration,
    /// The time since the share last changed, written in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stayed")]
    pub(crate) at_share: Duration,
    /// Whether the old version has part of the traffic for a control comparison.
    pub(crate) control: bool,
    /// The evidence of all routes together.
    pub(crate) pooled: Analysis,
    /// The evidence of each route, and its responses at the current share.
    pub(crate) routes: Vec<(id::Route, Analysis, Pair)>,
}
