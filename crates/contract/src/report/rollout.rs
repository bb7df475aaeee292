//! A move as operators read it.

use serde::{Deserialize, Serialize};

use crate::id;

/// A move as operators read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rollout {
    /// The service.
    pub service: id::Service,
    /// The version that carried the traffic.
    pub from: id::Version,
    /// The version that is to carry it.
    pub to: id::Version,
    /// How far the move is.
    pub state: State,
    /// The share of the new version, from 0 to 1.
    pub share: f64,
    /// When the move must be done or taken back, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
    /// Why the move is in this state; empty where that is plain.
    pub reason: String,
    /// The evidence, a line each.
    pub evidence: Vec<String>,
}

/// How far a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The move has not started.
    Planned,
    /// The first share of the traffic tries the new version.
    #[serde(rename = "trying")]
    Canary,
    /// The share grows.
    #[serde(rename = "moving")]
    Ramping,
    /// The new version carries all traffic. Final.
    Done,
    /// The old version carries all traffic again. Final.
    #[serde(rename = "taken-back")]
    RolledBack,
}
