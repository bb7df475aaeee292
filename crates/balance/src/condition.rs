//! What servers ask of an instance in their responses.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use crate::server::Key;
use crate::throttle::Throttle;

/// The longest pause that a server can ask for. A longer one is cut.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

/// How long a limit is kept after the server was last heard of.
const LIMIT_RETENTION: Duration = Duration::from_secs(60);

/// How long it is kept that a server leaves after it was last heard of.
const LEAVING_RETENTION: Duration = Duration::from_secs(3600);

/// What one server asks for.
#[derive(Clone, Copy, Debug)]
struct Condition {
    /// Until when the server wants no requests of this instance.
    paused_until: Instant,
    /// The requests a second that the server takes from all instances together, and what keeps to
    /// it.
    limit: Option<(f64, Throttle)>,
    /// Whether the server is about to stop.
    is_leaving: bool,
    heard_at: Instant,
}

impl Condition {
    /// Returns the condition of a server that asks for nothing.
    fn new(now: Instant) -> Self {
        Self {
            paused_until: now,
            limit: None,
            is_leaving: false,
            heard_at: now,
        }
    }
}

/// What servers ask for, by server.
///
/// Kept apart from the listed servers, as an entry may lapse and return while its server runs on.
#[derive(Debug, Default)]
pub struct Conditions(HashMap<Key, Condition>);

impl Conditions {
    /// Records that the server wants no requests of this instance for the time of `pause`.
    pub fn pause(&mut self, key: Key, pause: Duration, now: Instant) {
        let condition = self.hear(key, now);
        let until = now + pause.min(MAX_PAUSE);
        condition.paused_until = condition.paused_until.max(until);
    }

    /// Records the requests a second that the server takes from all instances together, or that it
    /// names no limit. Returns whether that is a change.
    pub fn set_limit(&mut self, key: Key, limit: Option<f64>, now: Instant) -> bool {
        if limit.is_none() && !self.0.contains_key(&key) {
            return false;
        }
        let condition = self.hear(key, now);
        let previous = condition.limit.map(|(rate, _)| rate);
        condition.limit = limit.map(|rate| {
            let mut throttle = condition
                .limit
                .map_or_else(|| Throttle::new(rate, now), |(_, throttle)| throttle);
            throttle.set_rate(rate, now);
            (rate, throttle)
        });
        previous != limit
    }

    /// Records that the server is about to stop. Returns whether that is news.
    pub fn set_leaving(&mut self, key: Key, now: Instant) -> bool {
        let condition = self.hear(key, now);
        !std::mem::replace(&mut condition.is_leaving, true)
    }

    /// Returns whether the server is about to stop.
    pub fn is_leaving(&self, key: Key) -> bool {
        self.0.get(&key).is_some_and(|c| c.is_leaving)
    }

    /// Records that requests of any instance have started at the server.
    pub fn record_starts(&mut self, key: Key, requests: u32, now: Instant) {
        let condition = self.0.get_mut(&key);
        if let Some((_, throttle)) = condition.and_then(|c| c.limit.as_mut()) {
            throttle.take(requests, now);
        }
    }

    /// Returns the requests a second that the server takes from all instances together, if it is
    /// limited.
    pub fn limit(&self, key: Key) -> Option<f64> {
        self.0.get(&key)?.limit.map(|(rate, _)| rate)
    }

    fn hear(&mut self, key: Key, now: Instant) -> &mut Condition {
        let condition = self.0.entry(key).or_insert(Condition::new(now));
        condition.heard_at = now;
        condition
    }

    /// Returns when the server takes the next request, or `None` if it takes one now.
    pub fn opens_at(&self, key: Key, now: Instant) -> Option<Instant> {
        let condition = self.0.get(&key)?;
        let paused_until = condition.paused_until;
        let pause = (paused_until > now).then_some(paused_until);
        let throttled = condition
            .limit
            .and_then(|(_, throttle)| throttle.opens_at(now));
        pause.max(throttled)
    }

    /// Drops conditions that no longer hold.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, condition| {
            let age = now.since(condition.heard_at);
            if age >= LIMIT_RETENTION {
                condition.limit = None;
            }
            let leaves = condition.is_leaving && age < LEAVING_RETENTION;
            leaves || condition.limit.is_some() || condition.paused_until > now
        });
    }
}
