//! The usage of all tenants in one window.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The usage of all tenants in one window of true time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The number of the window: it begins this many window lengths after the start of 1970.
    pub window: u64,
    /// The requests that servers began to run in the window, by tenant. A request counts once.
    pub counts: BTreeMap<String, u64>,
}
