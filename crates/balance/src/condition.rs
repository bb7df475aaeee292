//! What servers ask of an instance in their responses.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::server::Key;

/// The longest pause that a server can ask for. A longer one is cut.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// What one server asks for.
#[derive(Clone, Copy, Debug)]
struct Condition {
    /// Until when the server wants no requests of this instance.
    paused_until: Instant,
}

/// What servers ask for, by server.
///
/// Kept apart from the listed servers, as an entry may lapse and return while its server runs on.
#[derive(Debug, Default)]
pub struct Conditions(HashMap<Key, Condition>);

impl Conditions {
    /// Records that the server wants no requests of this instance for the time of `pause`.
    pub fn pause(&mut self, key: Key, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_PAUSE);
        let condition = self.0.entry(key).or_insert(Condition {
            paused_until: until,
        });
        condition.paused_until = condition.paused_until.max(until);
    }

    /// Returns when the server takes the next request, or `None` if it takes one now.
    pub fn opens_at(&self, key: Key, now: Instant) -> Option<Instant> {
        let condition = self.0.get(&key)?;
        let until = condition.paused_until;
        (until > now).then_some(until)
    }

    /// Drops conditions that no longer hold.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, condition| condition.paused_until > now);
    }
}
