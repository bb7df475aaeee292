//! What is kept of a move, and what operators read.

use std::time::Duration;

use contract::id;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::checkpoint::Checkpoint;
use crate::counts::Counts;
use crate::state::State;

/// What is kept of a move, and what operators read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Progress {
    /// The version that carried the traffic before.
    pub from: id::Version,
    /// The version that is to carry it.
    pub to: id::Version,
    /// The state.
    pub state: State,
    /// The share of the new version, from 0 to 1.
    pub share: f64,
    /// When the move must have ended, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// Until when a late fault takes a finished move back, in seconds since 1970-01-01 UTC.
    #[serde(default)]
    pub watched_until: Option<u64>,
    /// Why the move is where it is, in words.
    pub reason: String,
    /// The evidence of each route.
    pub routes: Vec<Route>,
    /// What a new lead owner goes on with.
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
    /// From which latency on an answer counts as slow, in microseconds.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub slow_limit_us: Option<Duration>,
    /// The answers of the old version.
    pub old: Counts,
    /// The answers of the new version.
    pub new: Counts,
    /// The evidence that the new version fails more often: 1 for none.
    pub failing: f64,
    /// The evidence that the new version is slower: 1 for none.
    pub slow: f64,
}

/// Returns the path of the object that keeps the move of `service` under bundle `version`.
pub fn path(service: &id::Service, version: u64) -> String {
    format!("moves/{service}/{version}")
}
