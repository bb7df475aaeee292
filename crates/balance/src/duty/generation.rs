//! Generations of holders.

use serde::{Deserialize, Serialize};

/// The bits of the revision. With the era they fit the 53 bits that all JSON decoders keep.
const REVISION_BITS: u32 = 40;

/// The bits of the era.
const ERA_BITS: u32 = 13;

/// The number of a holder's term: the store's era and the revision that the holder replaced.
///
/// It increases with each takeover. Within an era, revisions of the store only increase, and of several
/// writes that replace the same revision one succeeds; a restored store has a higher era. A counter in
/// the object itself would not do: a late write of an older era can undo it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(u64);

impl Generation {
    /// Returns the generation of a holder that replaces `revision` in `era`, or `None` if a number is
    /// too large.
    pub fn new(era: u64, revision: u64) -> Option<Self> {
        let fits = era >> ERA_BITS == 0 && revision >> REVISION_BITS == 0;
        fits.then_some(Self((era << REVISION_BITS) | revision))
    }

    /// Returns the generation with this number, as stored.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the generation as one number.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Returns the era of the store in which the holder took over.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }
}
