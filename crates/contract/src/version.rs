//! A version of a service.

use serde::{Deserialize, Serialize};

use crate::id;

/// A version of a service that may carry traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Version {
    /// The name of the version, as in the platform's list of backend servers.
    pub name: id::Version,
}
