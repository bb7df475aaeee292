//! The status of an instance.

use serde::{Deserialize, Serialize};

use super::{Member, Pool};
use crate::digest::Digest;
use crate::id;

/// The status of an instance, as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The name of this run of the instance.
    pub instance: id::Instance,
    /// The data centre of the instance.
    pub centre: id::Centre,
    /// The latest epoch of the roster that the instance knows.
    pub epoch: u64,
    /// The bundle in force at the instance; absent before the first bundle.
    pub bundle: Option<Bundle>,
    /// The members of the roster in this epoch.
    pub members: Vec<Member>,
    /// Whether the platform's store answered the last request.
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
