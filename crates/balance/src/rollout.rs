//! The stages of a rollout, and the versions of a service that requests may use.

use serde::{Deserialize, Serialize};

/// The stage of the rollout of a service to another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// A share of the requests uses the new version.
    Share {
        /// The new version.
        version: String,
        /// The share of the requests, from 0 to 1.
        share: f64,
    },
    /// All requests use the new version.
    Only(String),
    /// No request uses the version.
    Without(String),
}

impl Stage {
    /// Returns the versions that a request may use. `point` is a random number from 0 to 1 drawn
    /// for the request.
    pub fn filter(&self, point: f64) -> Filter {
        match self {
            Self::Share { version, share } if point < *share => Filter::Only(version.clone()),
            Self::Share { version, .. } | Self::Without(version) => Filter::Except(version.clone()),
            Self::Only(version) => Filter::Only(version.clone()),
        }
    }

    /// Returns the new version of the rollout, including one that was rolled back.
    pub fn version(&self) -> &str {
        match self {
            Self::Share { version, .. } | Self::Only(version) | Self::Without(version) => version,
        }
    }
}

/// The versions of a service that one request may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    /// The base version of the service.
    Base,
    /// This version.
    Only(String),
    /// Any version but this one.
    Except(String),
}

impl Filter {
    /// Returns whether the request may use `version` of a service whose base version is `base`. Any
    /// version is allowed for [`Self::Base`] if there is no base version.
    pub fn allows(&self, version: &str, base: Option<&str>) -> bool {
        match self {
            Self::Base => base.is_none_or(|b| b == version),
            Self::Only(only) => only == version,
            Self::Except(other) => other != version,
        }
    }
}
