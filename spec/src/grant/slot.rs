//! An entry's request for a credit.

use crate::grant::Index;

/// What an entry has of its one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Slot {
    /// Nothing.
    #[default]
    Idle,
    /// A credit is on its way.
    Granted {
        /// The actor that granted it.
        from: Index,
        /// How long it is good for.
        left: u8,
    },
    /// A credit is at hand.
    Held {
        /// The actor that granted it.
        from: Index,
        /// How long it is good for.
        left: u8,
    },
    /// A request runs at the backend server.
    Running {
        /// The actor that granted the credit.
        from: Index,
        /// How long the request may run yet.
        left: u8,
    },
}

impl Slot {
    /// Tells whether the server has, or may yet get, a request on the credit.
    pub fn is_live(self) -> bool {
        matches!(self, Slot::Held { .. } | Slot::Running { .. })
    }

    /// Returns the actor that was asked, if the credit has not come yet.
    pub fn pending_from(self) -> Option<Index> {
        match self {
            Slot::Granted { from, .. } => Some(from),
            _ => None,
        }
    }

    /// Lets a tick pass. `ages` tells whether a credit loses life on its way.
    ///
    /// A credit is good up to and at its last tick, and a request ends at its last tick. This is as
    /// tight as the actor's count.
    pub fn tick(&mut self, ages: bool) {
        *self = match *self {
            Slot::Granted { from, left } if ages && left > 0 => Slot::Granted {
                from,
                left: left - 1,
            },
            Slot::Held { from, left } if left > 0 => Slot::Held {
                from,
                left: left - 1,
            },
            Slot::Running { from, left } if left > 1 => Slot::Running {
                from,
                left: left - 1,
            },
            slot @ Slot::Granted { .. } if !ages => slot,
            _ => Slot::Idle,
        };
    }
}
