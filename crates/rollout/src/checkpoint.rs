//! What a new lead owner needs to go on with the evidence of a move.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::analysis::Analysis;
use crate::pair::Pair;

/// What a new lead owner needs to go on with the evidence of a move.
///
/// Answers since the last record are lost. Which ones are does not depend on how they ended, so
/// the evidence stays valid.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Checkpoint {
    /// How long the move has been under way, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) elapsed: Duration,
    /// How long the share has been what it is, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) stayed: Duration,
    /// Whether the old version has a part of the traffic to confirm a suspicion.
    pub(crate) control: bool,
    /// The evidence of all routes together.
    pub(crate) pooled: Analysis,
    /// The evidence of each route, and its answers at the present share.
    pub(crate) routes: Vec<(id::Route, Analysis, Pair)>,
}
