//! The bounds of an exploration.

use crate::grant::{Change, Index, Mask, Roster};

/// The bounds of an exploration.
#[derive(Clone, Debug, PartialEq)]
pub struct Scope {
    /// The name of the scope.
    pub name: &'static str,
    /// The members of the first epoch.
    pub members: Mask,
    /// The order of preference in which instances own the pool.
    pub order: &'static [Index],
    /// The possible changes of the roster, in any order.
    pub changes: &'static [Change],
    /// The last epoch.
    pub epochs: u8,
    /// The instances that may write the roster.
    pub writers: Mask,
    /// The instances that may ask for support, as an owner or a deputy.
    pub actors: Mask,
    /// The instances that may request credits.
    pub entries: Mask,
    /// The instances that may crash.
    pub crashes: Mask,
    /// How many handovers each instance may make.
    pub handovers: u8,
    /// How many ticks the clocks may miss in total.
    pub drift: u8,
    /// How long support lasts, in ticks.
    pub lease: u8,
    /// The margin for clock drift, in ticks.
    pub margin: u8,
    /// How long a request may be dispatched on a credit, in ticks.
    pub credit_ttl: u8,
    /// How long a request may run, in ticks.
    pub time_limit: u8,
}

impl Scope {
    /// The scopes that are explored.
    pub const ALL: &[&Scope] = &[
        &Self::DEPUTY,
        &Self::OUTSIDER,
        &Self::HANDBACK,
        &Self::DRIFT,
        &Self::REMOVAL,
        &Self::REPORTS,
        &Self::LEAVE,
        &Self::RACE,
        &Self::HASTE,
        &Self::JOIN,
        &Self::REPLACE,
        &Self::DEPARTED,
    ];

    /// One epoch: an owner that may crash, a deputy that competes for its duty, and two entry
    /// instances.
    pub const DEPUTY: Scope = Scope {
        name: "deputy",
        members: Mask(0b111),
        order: &[0, 1, 2],
        changes: &[],
        epochs: 1,
        writers: Mask(0b111),
        actors: Mask(0b011),
        entries: Mask(0b101),
        crashes: Mask(0b001),
        handovers: 0,
        drift: 0,
        lease: 2,
        margin: 0,
        credit_ttl: 2,
        time_limit: 2,
    };

    /// One epoch: an entry instance that is not a member requests credits too.
    pub const OUTSIDER: Scope = Scope {
        name: "outsider",
        members: Mask(0b110),
        order: &[1, 2],
        actors: Mask(0b110),
        crashes: Mask(0),
        ..Self::DEPUTY
    };

    /// One epoch: an owner and a deputy that hand the duty over to each other.
    pub const HANDBACK: Scope = Scope {
        name: "handback",
        crashes: Mask(0),
        handovers: 1,
        credit_ttl: 1,
        time_limit: 1,
        ..Self::DEPUTY
    };

    /// One epoch with lagging clocks.
    pub const DRIFT: Scope = Scope {
        name: "drift",
        crashes: Mask(0),
        drift: 1,
        margin: 1,
        credit_ttl: 1,
        ..Self::DEPUTY
    };

    /// The owner is removed, and its successor takes over. There are no credits.
    pub const REMOVAL: Scope = Scope {
        name: "removal",
        changes: &[Change {
            join: Mask(0),
            remove: Mask(0b001),
        }],
        epochs: 2,
        writers: Mask(0b010),
        entries: Mask(0),
        crashes: Mask(0),
        credit_ttl: 0,
        time_limit: 0,
        ..Self::DEPUTY
    };

    /// The owner, also an entry instance, is removed while a request that it sent is still running.
    pub const REPORTS: Scope = Scope {
        name: "reports",
        entries: Mask(0b101),
        lease: 1,
        credit_ttl: 1,
        time_limit: 2,
        ..Self::REMOVAL
    };

    /// The owner leaves and hands the pool over to its successor.
    pub const LEAVE: Scope = Scope {
        name: "leave",
        writers: Mask(0b001),
        handovers: 1,
        time_limit: 1,
        ..Self::REPORTS
    };

    /// Instances write different rosters of one epoch. There are no credits.
    pub const RACE: Scope = Scope {
        name: "race",
        changes: &[
            Change {
                join: Mask(0),
                remove: Mask(0b001),
            },
            Change {
                join: Mask(0),
                remove: Mask(0b010),
            },
        ],
        writers: Mask(0b111),
        ..Self::REMOVAL
    };

    /// The roster shrinks and grows over three epochs. There are no credits.
    pub const HASTE: Scope = Scope {
        name: "haste",
        changes: &[
            Change {
                join: Mask(0),
                remove: Mask(0b101),
            },
            Change {
                join: Mask(0b100),
                remove: Mask(0),
            },
        ],
        epochs: 3,
        writers: Mask(0b010),
        ..Self::RACE
    };

    /// An instance joins, becomes the owner and receives the pool by a handover. There are no
    /// credits.
    pub const JOIN: Scope = Scope {
        name: "join",
        members: Mask(0b0111),
        order: &[3, 0, 1, 2],
        changes: &[Change {
            join: Mask(0b1000),
            remove: Mask(0),
        }],
        writers: Mask(0b0001),
        actors: Mask(0b1011),
        handovers: 1,
        lease: 1,
        ..Self::RACE
    };

    /// All members but the owner are replaced by one, which receives the pool by a handover.
    pub const REPLACE: Scope = Scope {
        name: "replace",
        changes: &[Change {
            join: Mask(0b1000),
            remove: Mask(0b0110),
        }],
        lease: 2,
        ..Self::JOIN
    };

    /// Two owners are removed in turn, while a request that the first one sent is still running.
    pub const DEPARTED: Scope = Scope {
        name: "departed",
        changes: &[
            Change {
                join: Mask(0),
                remove: Mask(0b001),
            },
            Change {
                join: Mask(0),
                remove: Mask(0b010),
            },
        ],
        epochs: 3,
        writers: Mask(0b010),
        actors: Mask(0b101),
        ..Self::REPORTS
    };

    /// Returns all instances that may own the pool, be a member, act or request credits.
    pub fn instances(&self) -> Mask {
        let owners = self
            .order
            .iter()
            .fold(Mask(0), |mask, &index| mask.with(index));
        owners.or(self.members).or(self.actors).or(self.entries)
    }

    /// Returns the roster of the first epoch.
    pub fn roster(&self) -> Roster {
        Roster {
            epoch: 1,
            members: self.members,
            prior: Mask(0),
        }
    }
}
