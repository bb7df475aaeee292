//! The state of a rollout.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The state of a rollout. States are ordered: a rollout only moves to later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The new version has had no traffic yet.
    Planned,
    /// The new version has its first share.
    #[serde(rename = "trying")]
    Canary,
    /// The share of the new version is growing.
    #[serde(rename = "moving")]
    Ramping,
    /// The new version carries all traffic. For a while, a late fault can still roll it back.
    Done,
    /// The new version gets no traffic, for good.
    #[serde(rename = "taken-back")]
    RolledBack,
}

impl State {
    /// Returns whether the rollout has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, State::Done | State::RolledBack)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Planned => "planned",
            State::Canary => "trying",
            State::Ramping => "moving",
            State::Done => "done",
            State::RolledBack => "taken back",
        })
    }
}
