//! The object in the store that says who has the duty.

use super::Generation;
use crate::usage::Report;

/// The object in the store that says who has the duty and what it reports. It is only written on
/// condition that its revision is the one last read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Object {
    /// The name of the holder; empty before the first one.
    pub holder: String,
    /// The generation of the holder. Its era is that in which the object was written.
    pub generation: Generation,
    /// Whether the holder has ended its term, so that another may begin at once.
    pub released: bool,
    /// The last window that is closed: reported, or given up. Neither it nor an earlier one is
    /// reported again.
    pub reported: Option<u64>,
    /// The report that is being sent. Its counts are final.
    pub pending: Option<Report>,
    /// Windows before this one may have been reported in an earlier era of the store. They are only
    /// reported with counts that were fixed then.
    pub fresh_from: u64,
    /// Identifies the write, so that its writer recognizes it when its response was lost.
    pub write: u64,
}

impl Object {
    /// Returns the last window that was fixed or closed.
    pub fn last_window(&self) -> Option<u64> {
        self.pending.as_ref().map(|p| p.window).max(self.reported)
    }

    /// Returns the first window whose counts may still be determined.
    pub fn next_window(&self) -> u64 {
        let next = self.last_window().map_or(0, |last| last + 1);
        next.max(self.fresh_from)
    }
}

/// The object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// The revision, unique within an era of the store.
    pub revision: u64,
    /// The object.
    pub object: Object,
}

/// Response of the store to a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reading {
    /// The era of the store. It increases when the store is restored from an older copy.
    pub era: u64,
    /// The object, if it exists.
    pub stored: Option<Stored>,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// There is no object.
    Absent,
    /// The object has this revision.
    Revision(u64),
}

/// A write to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// The condition, without which the write has no effect.
    pub condition: Condition,
    /// The new object.
    pub object: Object,
}

/// Response of the store to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The write has taken effect.
    Written {
        /// The era of the store.
        era: u64,
        /// The new revision.
        revision: u64,
    },
    /// The condition did not hold.
    Conflict {
        /// The era of the store.
        era: u64,
    },
}
