//! The counts of both versions.

use crate::counts::Counts;

/// The counts of both versions.
#[derive(Clone, Copy, Debug, Default)]
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

    /// Halves all counts, so that older answers weigh less.
    pub(crate) fn halve(&mut self) {
        self.old.halve();
        self.new.halve();
    }
}
