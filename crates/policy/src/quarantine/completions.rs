//! The requests that servers have completed.

use std::collections::HashMap;
use std::time::Duration;

use clock::Instant;

use super::Fingerprint;

/// Maximum number of requests in a generation. There are two of them.
const GENERATION_CAPACITY: usize = 4096;

/// How long before a crash a request may have completed to be taken for one that servers complete.
const TTL: Duration = Duration::from_secs(60);

/// The requests that servers have completed, and when they did last. The requests that have not
/// completed for longest are evicted first, a generation at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    current: HashMap<Fingerprint, Instant>,
    previous: HashMap<Fingerprint, Instant>,
}

impl Completions {
    /// Records that a server has completed `request` at `now`.
    pub(super) fn record(&mut self, request: Fingerprint, now: Instant) {
        if self.current.len() >= GENERATION_CAPACITY && !self.current.contains_key(&request) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(request, now);
    }

    /// Returns whether a server has completed `request` at `time` or later.
    pub(super) fn has_since(&self, request: Fingerprint, time: Instant) -> bool {
        self.last(request).is_some_and(|at| time <= at)
    }

    /// Returns whether a server has completed `request` in the minute before `time`, or later.
    pub(super) fn has_recent(&self, request: Fingerprint, time: Instant) -> bool {
        self.last(request).is_some_and(|at| time < at + TTL)
    }

    fn last(&self, request: Fingerprint) -> Option<Instant> {
        let generations = [&self.current, &self.previous];
        generations
            .iter()
            .find_map(|generation| generation.get(&request).copied())
    }
}
