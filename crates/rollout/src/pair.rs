//! Counts of both versions.

use serde::{Deserialize, Serialize};

use crate::counts::Counts;

/// Counts of the old and the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Pair {
    pub(crate) old: Counts,
    pub(crate) new: Counts,
}

impl Pair {
    /// Adds the counts of one period.
    pub(crate) fn add(&mut self, old: Counts, new: Counts) {
        self.old += old;
        self.new += new;
    }
}
