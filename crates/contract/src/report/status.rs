//! The status of an instance.

use serde::{Deserialize, Serialize};

use super::{Member, Pool};
use crate::digest::Digest;
use crate::id;

/// The status of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The name of this run of the instance.
    pub instance: id::Instance,
    /// The data centre that the instance is in.
    pub centre: id::Centre,
    /// The epoch of the roster that the instance has seen last.
    pub epoch: u64,
    /// The bundle in force here; absent before the first.
    pub bundle: Option<Bundle>,
    /// The members of the epoch.
    pub members: Vec<Member>,
    /// Whether the platform's store answered last.
    pub store_reachable: bool,
    /// The pools that the instance knows.
    pub pools: Vec<Pool>,
}

/// The bundle in force at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bundle {
    /// The version of the bundle.
    pub version: u64,
    /// The digest of its root.
    pub digest: Digest,
}
