//! A crash of a server, with its time on this process's clock.

use std::time::Duration;

use clock::Instant;
use contract::id;

/// Crashes of one server within this time count as one: several attempts may see the same crash,
/// and several instances may report it.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);

/// A crash of a server, with its time on this process's clock.
#[derive(Clone, Debug)]
pub(super) struct Incident {
    pub(super) server: id::Server,
    /// When the server was last known to run.
    pub(super) alive_at: Instant,
    /// When it was known to have crashed.
    pub(super) at: Instant,
}

impl Incident {
    /// Returns whether this may be the same crash as `other`, or have the same cause: servers that
    /// are lost together, such as those of one rack, were not crashed by a request.
    pub(super) fn may_coincide(&self, other: &Self) -> bool {
        let is_same_server = self.server == other.server
            && self.at < other.at + SAME_CRASH_WINDOW
            && other.at < self.at + SAME_CRASH_WINDOW;
        is_same_server || (self.alive_at < other.at && other.alive_at < self.at)
    }
}
