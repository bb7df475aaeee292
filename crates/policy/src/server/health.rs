//! When a server gets no credits because of what it did.

use std::time::Duration;

use clock::Instant;

use super::pause::{Cause, Pause};
use crate::pool::Config;

/// The failures in a row of a server, and the pauses that follow from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    pause: Option<Pause>,
    /// The length of the next pause for failures; zero stands for the first.
    next: Duration,
    /// Whether the server came back from a pause and has not answered since.
    on_trial: bool,
}

impl Health {
    /// Returns the pause that the server is in.
    pub(crate) fn pause(&self) -> Option<Pause> {
        self.pause
    }

    /// Returns whether the server came back from a pause and has not answered since.
    pub(crate) fn on_trial(&self) -> bool {
        self.on_trial
    }

    /// Counts an answer.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
        self.on_trial = false;
    }

    /// Forgets the earlier pauses.
    pub(crate) fn restore(&mut self) {
        self.next = Duration::ZERO;
    }

    /// Counts a failure, and returns whether the server is to be ejected.
    pub(crate) fn fail(&mut self, limit: u32) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.on_trial || self.failures >= limit
    }

    /// Ejects the server, for twice as long as the last time.
    pub(crate) fn eject(&mut self, config: &Config, now: Instant) {
        let length = self.next.max(config.base_ejection);
        self.next = length.saturating_mul(2).min(config.max_ejection);
        self.begin(Cause::Failures, now + length);
    }

    /// Notes that the server is draining.
    pub(crate) fn drain(&mut self, config: &Config, now: Instant) {
        self.begin(Cause::Draining, now + config.drain_pause);
    }

    /// Ends the pause if it is over at `now`, and returns whether it ended.
    pub(crate) fn wake(&mut self, now: Instant) -> bool {
        if self.pause.is_none_or(|p| p.until > now) {
            return false;
        }
        self.pause = None;
        self.on_trial = true;
        true
    }

    fn begin(&mut self, cause: Cause, until: Instant) {
        let longer = self.pause.map_or(until, |p| p.until.max(until));
        self.failures = 0;
        self.on_trial = false;
        self.pause = Some(Pause {
            cause,
            until: longer,
        });
    }
}
