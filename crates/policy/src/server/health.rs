//! Ejection of failing servers and exclusion of draining ones.

use std::time::Duration;

use clock::Instant;

use super::pause::{Cause, Pause};
use crate::pool::Config;

/// The consecutive failures of a server, and the pauses in which it gets no credits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    pause: Option<Pause>,
    /// The duration of the next ejection; zero means the duration of the first.
    next_ejection: Duration,
    /// Whether the server returned from a pause and has not responded since.
    half_open: bool,
}

impl Health {
    /// Returns the current pause of the server.
    pub(crate) fn pause(&self) -> Option<Pause> {
        self.pause
    }

    /// Returns whether the server returned from a pause and has not responded since.
    pub(crate) fn is_half_open(&self) -> bool {
        self.half_open
    }

    /// Records a successful response.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.half_open = false;
    }

    /// Resets the duration of the next ejection to that of the first.
    pub(crate) fn reset_ejections(&mut self) {
        self.next_ejection = Duration::ZERO;
    }

    /// Records a failure, and returns whether the server should be ejected: `limit` consecutive
    /// failures eject it, or a single one while it is half-open.
    pub(crate) fn record_failure(&mut self, limit: u32) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.half_open || self.failures >= limit
    }

    /// Ejects the server, for twice as long as the last time up to the maximum.
    pub(crate) fn eject(&mut self, config: &Config, now: Instant) {
        let length = self.next_ejection.max(config.base_ejection);
        self.next_ejection = length.saturating_mul(2).min(config.max_ejection);
        self.begin_pause(Cause::Failures, now + length);
    }

    /// Pauses the server because it is draining.
    pub(crate) fn drain(&mut self, config: &Config, now: Instant) {
        self.begin_pause(Cause::Draining, now + config.drain_pause);
    }

    /// Ends the pause if it is over at `now`, which makes the server half-open. Returns whether the
    /// pause ended.
    pub(crate) fn end_pause(&mut self, now: Instant) -> bool {
        if self.pause.is_none_or(|p| p.until > now) {
            return false;
        }
        self.pause = None;
        self.half_open = true;
        true
    }

    fn begin_pause(&mut self, cause: Cause, until: Instant) {
        let longer = self.pause.map_or(until, |p| p.until.max(until));
        self.failures = 0;
        self.half_open = false;
        self.pause = Some(Pause {
            cause,
            until: longer,
        });
    }
}
