//! Responses counted since the last report.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::origin::Origin;
use crate::sample::Sample;
use crate::tally::Tally;

/// Responses counted since the last report.
///
/// Each owner of a pool keeps one, and sends and clears it about once a second. The lead owner of
/// the service passes what it receives to its controller.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evidence(#[serde_as(as = "Vec<(_, _)>")] BTreeMap<Origin, Tally>);

impl Evidence {
    /// Counts `sample`.
    pub fn observe(&mut self, sample: &Sample) {
        let origin = sample.origin.clone();
        self.0.entry(origin).or_default().observe(sample);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Evidence) {
        for (origin, tally) in other.iter() {
            self.0.entry(origin.clone()).or_default().merge(tally);
        }
    }

    /// Returns whether no responses were counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the tallies by origin.
    pub fn iter(&self) -> impl Iterator<Item = (&Origin, &Tally)> {
        self.0.iter()
    }
}
