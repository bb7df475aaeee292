//! The state of a rollout.

use serde::{Deserialize, Serialize};

use crate::id;

/// The state of a rollout, known to operators as a move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rollout {
    /// The service.
    pub service: id::Service,
    /// The version that carried the traffic.
    pub from: id::Version,
    /// The new version.
    pub to: id::Version,
    /// The state of the rollout.
    pub state: State,
    /// The share of traffic for the new version, from 0 to 1.
    pub share: f64,
    /// When the rollout must be complete or rolled back, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// Why the rollout is in this state; empty if the state needs no reason.
    pub reason: String,
    /// The evidence for the decision, one line per item.
    pub evidence: Vec<String>,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The rollout has not started.
    Planned,
    /// The new version receives its initial share of the traffic.
    #[serde(rename = "trying")]
    Canary,
    /// The share of the new version is increasing.
    #[serde(rename = "moving")]
    Ramping,
    /// The new version carries all traffic. Final.
    Done,
    /// The old version carries all traffic again. Final.
    #[serde(rename = "taken-back")]
    RolledBack,
}
