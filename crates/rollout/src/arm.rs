//! Calls and bad calls of one arm of a comparison.

use std::ops::{Add, Sub};

/// Calls and bad calls of one arm of a comparison: a version, or one of its servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Arm {
    /// The number of calls.
    pub(crate) calls: u64,
    /// The number of these calls that were bad.
    pub(crate) bad: u64,
}

impl Add for Arm {
    type Output = Arm;

    fn add(self, other: Arm) -> Arm {
        Arm {
            calls: self.calls + other.calls,
            bad: self.bad + other.bad,
        }
    }
}

impl Sub for Arm {
    type Output = Arm;

    fn sub(self, other: Arm) -> Arm {
        Arm {
            calls: self.calls - other.calls,
            bad: self.bad - other.bad,
        }
    }
}
