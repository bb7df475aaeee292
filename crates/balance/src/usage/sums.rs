//! The sums of a data centre.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The usage of all tenants in one window and data centre, as far as a collector knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// The requests that servers began to run, by tenant.
    pub counts: BTreeMap<String, u64>,
    /// The number of instances that have sent all their counts since the window ended.
    pub complete: u32,
    /// The number of live instances that have not.
    pub incomplete: u32,
    /// Whether the collector was one throughout the window, or has read what the one before it wrote
    /// after its end. Otherwise it may not know the counts of instances that have ended.
    pub covered: bool,
}

impl Sums {
    /// Takes the higher one of each count here and in `counts`, which are of the same requests.
    pub fn merge(&mut self, counts: &BTreeMap<String, u64>) {
        for (tenant, count) in counts {
            let sum = self.counts.entry(tenant.clone()).or_default();
            *sum = (*sum).max(*count);
        }
    }
}
