//! The stored progress of a rollout, which operators also read.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::checkpoint::Checkpoint;
use crate::counts::Counts;
use crate::state::State;

/// The stored progress of a rollout, which operators also read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Progress {
    /// The old version.
    pub from: id::Version,
    /// The new version.
    pub to: id::Version,
    /// The state of the rollout.
    pub state: State,
    /// The share of the new version, from 0 to 1.
    pub share: f64,
    /// The latest end of the rollout, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// Until when a late fault rolls a finished rollout back, in seconds since 1970-01-01 UTC.
    #[serde(default)]
    pub watched_until: Option<u64>,
    /// The text of the [`Reason`](crate::reason::Reason) for the state.
    pub reason: String,
    /// The evidence of each route.
    pub routes: Vec<Route>,
    /// The state from which a new lead owner resumes.
    #[serde(default, rename = "memory")]
    pub checkpoint: Box<Checkpoint>,
}

/// The evidence of one route.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// The name of the route.
    pub name: id::Route,
    /// The latency from which on a response counts as slow, written in microseconds.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub slow_limit_us: Option<Duration>,
    /// The responses of the old version.
    pub old: Counts,
    /// The responses of the new version.
    pub new: Counts,
    /// The e-value of the test whether the new version fails more often. It is 1 without evidence.
    pub failing: f64,
    /// The e-value of the test whether the new version is slower. It is 1 without evidence.
    pub slow: f64,
}

/// Returns the path of the object that stores a rollout of `service`. `version` tells the
/// rollouts of a service apart; callers pass the deadline.
pub fn path(service: &id::Service, version: u64) -> String {
    format!("moves/{service}/{version}")
}
