//! The servers of one version within a pool, and the version's share of the grants.

use std::collections::BTreeSet;

use contract::id;

use super::rank::Rank;

/// Maximum number of grants that a version may be behind or ahead of its share.
const MAX_DEFICIT: f64 = 1.0;

/// Tolerance for rounding errors in sums of shares.
const ROUNDING: f64 = 1e-9;

/// The servers of one version within a pool, and the version's share of the grants.
#[derive(Debug)]
pub(crate) struct Group {
    /// The name of the version.
    pub(crate) version: id::Version,
    /// The version's share of the grants, from 0 to 1.
    pub(crate) share: f64,
    /// Whether the version takes grants that other versions have no room for.
    pub(crate) takes_overflow: bool,
    /// The servers with room.
    pub(crate) ready: BTreeSet<Rank>,
    /// The number of records of this version.
    pub(crate) records: usize,
    /// The number of servers that are listed and not leaving.
    pub(crate) members: u32,
    /// The number of servers that may get credits.
    pub(crate) usable: u32,
    /// The sum of the allowances of the usable servers.
    pub(crate) capacity: u64,
    /// The number of credits that may be granted now.
    pub(crate) room: u64,
    /// The number of grants that the version is behind its share; negative if it is ahead.
    deficit: f64,
}

impl Group {
    /// Creates the group of a version without servers or a share.
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

    /// Returns whether the version has no records and no share.
    pub(crate) fn is_unused(&self) -> bool {
        self.records == 0 && self.share == 0.0
    }

    /// Sets the version's share of the grants, and whether it takes overflow.
    pub(crate) fn set_share(&mut self, share: f64, takes_overflow: bool) {
        self.share = share;
        self.takes_overflow = takes_overflow;
        if share == 0.0 {
            self.deficit = 0.0;
        }
    }

    /// Returns whether the version has a share and a server with room.
    pub(crate) fn is_ready(&self) -> bool {
        self.share > 0.0 && !self.ready.is_empty()
    }

    /// Returns whether the version stays within its share if it gets the next grant.
    pub(crate) fn is_due(&self) -> bool {
        self.deficit + self.share > ROUNDING
    }

    /// Returns the number of grants, across all versions, until the version is a whole grant behind
    /// its share.
    pub(crate) fn slack(&self) -> f64 {
        (1.0 - self.deficit) / self.share
    }

    /// Counts a grant of the pool, made to this version or to another.
    pub(crate) fn record_grant(&mut self, to_this: bool) {
        let taken = if to_this { 1.0 } else { 0.0 };
        let deficit = self.deficit + self.share - taken;
        self.deficit = deficit.clamp(-MAX_DEFICIT, MAX_DEFICIT);
    }

    /// Returns whether one more server may be ejected because of its responses. At least half of
    /// the servers must remain usable.
    pub(crate) fn can_eject(&self) -> bool {
        let out = self.members.saturating_sub(self.usable);
        (out + 1) * 2 <= self.members
    }
}
