//! A data centre in a bundle.

use serde::{Deserialize, Serialize};

use crate::id;

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Centre {
    /// The name of the data centre.
    pub name: id::Centre,
    /// Whether its backend servers may receive work.
    pub in_service: bool,
}
