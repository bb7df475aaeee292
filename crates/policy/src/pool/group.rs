//! The servers of one version within a pool.

use std::collections::BTreeSet;

use contract::id;

use super::rank::Rank;

/// How far a version may fall behind or run ahead of its share, in grants.
const MAX_DEFICIT: f64 = 1.0;

/// What sums of shares may differ by from rounding.
const ROUNDING: f64 = 1e-9;

/// The servers of one version within a pool, and the version's share of the grants.
#[derive(Debug)]
pub(crate) struct Group {
    /// The name of the version.
    pub(crate) version: id::Version,
    /// The share of the grants, from 0 to 1.
    pub(crate) share: f64,
    /// Whether the version takes turns that others have no room for.
    pub(crate) takes_overflow: bool,
    /// The servers with room.
    pub(crate) ready: BTreeSet<Rank>,
    /// The records that name the version.
    pub(crate) records: usize,
    /// The servers that are listed and not leaving.
    pub(crate) members: u32,
    /// The servers that may get credits.
    pub(crate) usable: u32,
    /// The sum of the allowances of the usable servers.
    pub(crate) capacity: u64,
    /// The credits that may be granted at once.
    pub(crate) room: u64,
    /// The grants that the version is behind its share.
    deficit: f64,
}

impl Group {
    /// Returns a version without servers and without a share.
    pub(crate) fn new(version: id::Version) -> Self {
        Self {
            version,
            share: 0.0,
            takes_overflow: false,
            ready: BTreeSet::new(),
            records: 0,
            members: 0,
            usable: 0,
            capacity: 0,
            room: 0,
            deficit: 0.0,
        }
    }

    /// Returns whether nothing refers to the version any more.
    pub(crate) fn is_unused(&self) -> bool {
        self.records == 0 && self.share == 0.0
    }

    /// Sets the share of the grants.
    pub(crate) fn set_share(&mut self, share: f64, takes_overflow: bool) {
        self.share = share;
        self.takes_overflow = takes_overflow;
        if share == 0.0 {
            self.deficit = 0.0;
        }
    }

    /// Returns whether a server has room and the version has a share.
    pub(crate) fn is_ready(&self) -> bool {
        self.share > 0.0 && !self.ready.is_empty()
    }

    /// Returns whether a grant now keeps the version within its share.
    pub(crate) fn is_due(&self) -> bool {
        self.deficit + self.share > ROUNDING
    }

    /// Returns the number of grants, of all versions, after which the version falls behind.
    pub(crate) fn slack(&self) -> f64 {
        (1.0 - self.deficit) / self.share
    }

    /// Counts a grant of the pool, to this version or another.
    pub(crate) fn record_grant(&mut self, to_this: bool) {
        let taken = if to_this { 1.0 } else { 0.0 };
        let deficit = self.deficit + self.share - taken;
        self.deficit = deficit.clamp(-MAX_DEFICIT, MAX_DEFICIT);
    }

    /// Returns whether one more server may be ejected for its answers: half of them must stay.
    pub(crate) fn can_eject(&self) -> bool {
        let out = self.members.saturating_sub(self.usable);
        (out + 1) * 2 <= self.members
    }
}
