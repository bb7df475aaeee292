//! The place of a request among those that wait.

use super::Priority;

/// Set in all ranks of this module, so that they can be told from the plain priorities of a
/// configuration without tenants.
const SHARED: u32 = 1 << 31;

/// Set in the ranks of requests that have no reserved capacity.
const ORDERED: u32 = 1 << 30;

/// How a request stands to others of its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It goes before all requests without reserved capacity, whatever their priority.
    Reserved,
    /// It is within the fair share of its tenant.
    Within,
    /// It exceeds the fair share of its tenant, and goes behind others of its priority.
    Over,
}

impl Standing {
    /// All standings, by index.
    pub const ALL: [Self; 3] = [Self::Reserved, Self::Within, Self::Over];

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Reserved => "reserved",
            Self::Within => "within share",
            Self::Over => "over share",
        }
    }
}

/// The place of a request among those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Admission {
    /// Its priority.
    pub priority: Priority,
    /// How it stands to others of its priority.
    pub standing: Standing,
}

impl Admission {
    /// Returns a number that orders the requests: lower ones go first. Reserved requests are equal.
    pub fn rank(self) -> u32 {
        let over = match self.standing {
            Standing::Reserved => return SHARED,
            Standing::Within => 0,
            Standing::Over => 1,
        };
        SHARED | ORDERED | self.priority.bits() << 1 | over
    }

    /// Returns whether `rank` is one of a request of a tenant, and not a route's plain priority.
    pub fn is_shared(rank: u32) -> bool {
        rank & SHARED != 0
    }
}
