//! What has happened to an instance and the duty, for logs and metrics.

use super::Generation;

/// What has happened to an instance and the duty, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The instance has become the holder.
    Taken {
        /// Its generation.
        generation: Generation,
        /// The holder before it; empty for the first one.
        previous: String,
    },
    /// The instance is no longer the holder.
    Lost {
        /// Why.
        reason: &'static str,
    },
    /// The counts of a window have been fixed.
    Fixed {
        /// The window.
        window: u64,
        /// The number of windows right before it that will not be reported.
        missing: u64,
    },
    /// The receiver has accepted the report of a window.
    Delivered {
        /// The window.
        window: u64,
    },
    /// A report that was fixed has been given up.
    GivenUp {
        /// The window.
        window: u64,
        /// Why.
        reason: &'static str,
    },
    /// The store has been restored from an older copy.
    Restored {
        /// The new era.
        era: u64,
    },
    /// The store has sent a response of an era before the one that is known.
    OldEra {
        /// The era of the response.
        era: u64,
    },
}
