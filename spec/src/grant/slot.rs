//! The one request of an entry instance.

use crate::grant::Index;

/// The state of the one request that an entry instance may have, from the grant of its credit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Slot {
    /// There is no request.
    #[default]
    Idle,
    /// A credit was granted, and its message is in flight.
    Granted {
        /// The actor that granted it.
        from: Index,
        /// The number of ticks for which the credit may be dispatched on.
        left: u8,
    },
    /// The entry instance holds a credit.
    Held {
        /// The actor that granted it.
        from: Index,
        /// The number of ticks for which the credit may be dispatched on.
        left: u8,
    },
    /// The request is running at the backend server.
    Running {
        /// The actor that granted the credit.
        from: Index,
        /// The number of ticks for which the request may still run.
        left: u8,
    },
}

impl Slot {
    /// Returns whether the server has a request on the credit or may still receive one.
    pub fn is_live(self) -> bool {
        matches!(self, Slot::Held { .. } | Slot::Running { .. })
    }

    /// Returns the actor that granted the credit, if the credit has not arrived.
    pub fn pending_from(self) -> Option<Index> {
        match self {
            Slot::Granted { from, .. } => Some(from),
            _ => None,
        }
    }

    /// Advances the clock by a tick. `ages` is whether a credit in flight loses lifetime.
    ///
    /// A credit may be dispatched on up to and including its last tick, and a request ends at its
    /// last tick. The actor's count has no slack beyond that.
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
