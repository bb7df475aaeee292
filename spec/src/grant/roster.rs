//! Rosters, with sets of instances as bit masks.

use std::fmt;

use crate::grant::Index;

/// A set of instances as a bit mask.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Mask(pub u8);

impl Mask {
    /// Returns whether `index` is in the set.
    pub fn has(self, index: Index) -> bool {
        self.0 >> index & 1 == 1
    }

    /// Returns the set with `index` added.
    pub fn with(self, index: Index) -> Self {
        Self(self.0 | 1 << index)
    }

    /// Returns the union of two sets.
    pub fn or(self, other: Mask) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the indices in the set, in ascending order.
    pub fn iter(self) -> impl Iterator<Item = Index> + Clone {
        let mut left = self.0;
        std::iter::from_fn(move || {
            let index = (left != 0).then(|| left.trailing_zeros() as Index)?;
            left &= left - 1;
            Some(index)
        })
    }

    /// Returns whether `holds` is true for a majority of the set. This is always so for the empty
    /// set.
    pub fn majority<F>(self, holds: F) -> bool
    where
        F: Fn(Index) -> bool,
    {
        let count = self.iter().filter(|&index| holds(index)).count();
        self.0 == 0 || 2 * count > self.0.count_ones() as usize
    }
}

impl fmt::Debug for Mask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter()).finish()
    }
}

/// A possible change of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The instances that join.
    pub join: Mask,
    /// The members that leave or are removed.
    pub remove: Mask,
}

/// The members of an epoch and of the previous one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Roster {
    /// The epoch.
    pub epoch: u8,
    /// The members.
    pub members: Mask,
    /// The members of the previous epoch.
    pub prior: Mask,
}

impl Roster {
    /// Returns the roster after `change`.
    pub fn next(self, change: Change) -> Roster {
        let members = Mask((self.members.0 | change.join.0) & !change.remove.0);
        Roster {
            epoch: self.epoch + 1,
            members,
            prior: self.members,
        }
    }

    /// Returns the owner of the pool: the first instance in `order` that is a member.
    pub fn owner(self, order: &[Index]) -> Option<Index> {
        order.iter().copied().find(|&index| self.members.has(index))
    }
}
