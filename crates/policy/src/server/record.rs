//! The state that a pool tracks for one server, and its updates from feedback.

use clock::Instant;
use contract::id;

use super::health::Health;
use super::observation::Observation;
use super::pause::Cause;
use super::speed::{self, Speed};
use super::State;
use crate::feedback::{Outcome, StartId};
use crate::pool::Config;
use crate::ramp::Ramp;

/// Minimum latency ratio recorded for a failed or shed attempt, so that a server that fails fast
/// does not look fast.
const FAILURE_RATIO: f64 = 4.0;

/// Minimum latency ratio recorded for an attempt that timed out.
const TIMEOUT_RATIO: f64 = 8.0;

/// Latency ratio recorded for an ejection, so that other servers are preferred after it.
const EJECTION_RATIO: f64 = 32.0;

/// The state that a pool tracks for one server.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// The name of the server.
    pub(crate) name: id::Server,
    /// Whether the server is listed.
    pub(crate) listed: bool,
    /// Whether the server is listed as leaving.
    pub(crate) leaving: bool,
    /// The number of live credits.
    pub(crate) live: u32,
    /// Increases whenever the server is reset to cold. Feedback of credits granted before that does
    /// not describe the server's current state.
    pub(crate) generation: u64,
    /// Sequence number of the last grant, or of the record's creation if there was none.
    pub(crate) sequence: u64,
    /// When the server last gave feedback or was last probed.
    pub(crate) idle_since: Instant,
    ramp: Ramp,
    speed: Speed,
    health: Health,
    start_id: Option<StartId>,
    previous_start_id: Option<StartId>,
    /// The allowance before a crash. It is restored if the next response shows that the server did
    /// not restart.
    allowance_before_crash: Option<u32>,
    /// Whether the server has responded since it last became cold or half-open.
    confirmed: bool,
    /// Whether the server is cold because it has just started, so that it is expected to become
    /// fast after some responses.
    starting: bool,
}

impl Record {
    /// Creates the record of a cold server that is not listed.
    pub(crate) fn new(name: id::Server, config: &Config, now: Instant) -> Self {
        Self {
            name,
            listed: false,
            leaving: false,
            live: 0,
            generation: 0,
            sequence: 0,
            idle_since: now,
            ramp: Ramp::new(config.slots, config.growth_responses, now),
            speed: Speed::new(now),
            health: Health::default(),
            start_id: None,
            previous_start_id: None,
            allowance_before_crash: None,
            confirmed: false,
            starting: false,
        }
    }

    /// Marks the server as listed. A server that was not listed or was leaving starts cold.
    pub(crate) fn set_listed(&mut self, leaving: bool, config: &Config, now: Instant) {
        let was_unusable = !self.listed || self.leaving;
        self.listed = true;
        self.leaving = leaving;
        if was_unusable && !leaving {
            self.health = Health::default();
            self.speed = Speed::new(now);
            self.ramp = Ramp::new(config.slots, config.growth_responses, now);
            self.restart(now);
        }
    }

    /// Resets the server to cold because it has just started.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.reset_to_cold(now);
        self.starting = true;
    }

    /// Resets the server to cold.
    pub(crate) fn reset_to_cold(&mut self, now: Instant) {
        self.ramp.reset(now);
        self.generation += 1;
        self.idle_since = now;
        self.allowance_before_crash = None;
        self.confirmed = false;
        self.starting = false;
    }

    /// Returns whether the server is listed and not leaving.
    pub(crate) fn is_member(&self) -> bool {
        self.listed && !self.leaving
    }

    /// Returns whether the server may get credits.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_member() && self.health.pause().is_none()
    }

    /// Returns the number of credits that may be live at once.
    pub(crate) fn allowance(&self) -> u32 {
        self.ramp.allowance()
    }

    /// Returns the number of concurrent requests that the server takes when it is warm.
    pub(crate) fn slots(&self) -> u32 {
        self.ramp.slots()
    }

    /// Returns whether the server may be in a cold start.
    pub(crate) fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Returns whether a probe would provide information that responses have not.
    pub(crate) fn needs_probe(&self) -> bool {
        let uncertain = self.ramp.is_cold() || self.health.is_half_open();
        uncertain && !self.confirmed
    }

    /// Returns whether the server returned from a pause and has not responded since.
    pub(crate) fn is_half_open(&self) -> bool {
        self.health.is_half_open()
    }

    /// Returns the slowness by which the server is compared with others.
    ///
    /// A cold server that has just started counts as of normal speed. Otherwise it would get few
    /// requests and stay cold for a long time.
    pub(crate) fn slowness(&self) -> u64 {
        if self.starting && self.is_cold() {
            speed::BASE_SLOWNESS
        } else {
            self.speed.slowness()
        }
    }

    /// Returns when the state of the server next changes without further input.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        let pause = self.health.pause().map(|p| p.until);
        pause.into_iter().chain(self.speed.next_decay()).min()
    }

    /// Restores the state that a previous owner reported, if the server is usable and has not yet
    /// reported a start id.
    pub(crate) fn restore(&mut self, state: &State, config: &Config, now: Instant) {
        if !self.is_usable() || self.start_id.is_some() {
            return;
        }
        self.start_id = state.start_id;
        if state.leaving {
            self.health.drain(config, now);
        } else if state.ejected {
            self.health.eject(config, now);
        } else if !state.cold {
            self.ramp.restore(state.allowance);
        }
    }

    /// Applies the changes that are due at `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.speed.decay(now);
        if self.health.end_pause(now) {
            // Makes calls prefer other servers, so that a probe may reach the server first.
            self.speed.record_ratio(EJECTION_RATIO, now);
            self.idle_since = now;
        }
    }

    /// Applies the feedback of an attempt.
    pub(crate) fn apply(&mut self, observation: &Observation<'_>, config: &Config, now: Instant) {
        let feedback = observation.feedback;
        if feedback.start_id.is_some() && feedback.start_id == self.previous_start_id {
            // A late response of a process that has since been replaced.
            return;
        }
        let mut current = observation.generation == self.generation;
        self.idle_since = now;
        if self.has_restarted(feedback.start_id) {
            self.restart(now);
            current = false;
        }
        if feedback.draining {
            self.health.drain(config, now);
            self.reset_to_cold(now);
            current = false;
        }
        if current {
            self.apply_outcome(observation, config, now);
        }
    }

    /// Returns the server's state, for reports.
    pub(crate) fn state(&self, version: &id::Version) -> State {
        let pause = self.health.pause().map(|p| p.cause);
        State {
            name: self.name.clone(),
            version: version.clone(),
            allowance: self.allowance(),
            live: self.live,
            cold: self.ramp.is_cold(),
            ejected: pause == Some(Cause::Failures),
            leaving: !self.is_member() || pause == Some(Cause::Draining),
            latency: self.speed.latency(),
            start_id: self.start_id,
        }
    }

    /// Records the start id of a response, and returns whether it replaces an earlier one.
    fn has_restarted(&mut self, start_id: Option<StartId>) -> bool {
        if start_id.is_none() || start_id == self.start_id {
            return false;
        }
        self.previous_start_id = self.start_id;
        self.start_id = start_id;
        self.previous_start_id.is_some()
    }

    /// Applies the outcome of an attempt whose credit belongs to the current generation.
    fn apply_outcome(&mut self, observation: &Observation<'_>, config: &Config, now: Instant) {
        let ratio = observation.ratio;
        match observation.feedback.outcome {
            Outcome::Answered => self.apply_response(observation, now),
            Outcome::Failed => {
                self.speed.record_ratio(ratio.max(FAILURE_RATIO), now);
                self.apply_failure(observation, config, now);
            }
            Outcome::Shed => self.apply_shed(observation, config, now),
            Outcome::Crashed | Outcome::Unreachable => self.apply_crash(observation, config, now),
            Outcome::TimedOut => {
                self.speed.record_ratio(ratio.max(TIMEOUT_RATIO), now);
                self.apply_failure(observation, config, now);
            }
            Outcome::Abandoned => self.speed.record_minimum(ratio, now),
        }
    }

    fn apply_response(&mut self, observation: &Observation<'_>, now: Instant) {
        let ratio = observation.ratio;
        self.confirmed = true;
        if self.health.is_half_open() {
            self.speed.reset_recent();
        }
        let allowance_before_crash = self.allowance_before_crash.take();
        let allowance_before_crash =
            allowance_before_crash.filter(|_| observation.feedback.start_id.is_some());
        if let Some(allowance) = allowance_before_crash {
            self.ramp.restore(allowance);
        }
        if observation.probe {
            // A probe only shows that the server is reachable: a probe endpoint is often fast and
            // healthy when other routes are not.
            return;
        }
        let settled = self.ramp.is_settled(now);
        self.starting &= !settled;
        let latency = observation.feedback.latency;
        let jumped = self.speed.record_response(ratio, latency, settled, now);
        self.health.record_success();
        if self.is_cold() {
            self.apply_cold_response(observation, now);
            if !self.is_cold() && !settled {
                // Ratios from the cold start do not reflect the server's usual speed.
                self.speed.reset_recent();
            }
        } else if jumped {
            self.reset_to_cold(now);
        } else if self.speed.is_good(ratio) {
            self.ramp.record_good(now);
        }
        if !self.is_cold() {
            self.health.reset_ejections();
        }
    }

    /// Applies a response of a cold server.
    ///
    /// A server in a cold start is slow, and slower with each concurrent request. To become warm,
    /// it must respond as fast as warm servers or, where there is no baseline, more often.
    fn apply_cold_response(&mut self, observation: &Observation<'_>, now: Instant) {
        self.ramp.record_cold_response();
        if !observation.has_baseline {
            self.ramp.record_unrated(now);
        } else if self.speed.is_warm(observation.ratio) {
            self.ramp.record_good(now);
        } else {
            self.ramp.reset_progress();
        }
    }

    fn apply_failure(&mut self, observation: &Observation<'_>, config: &Config, now: Instant) {
        if !observation.route_failing {
            self.record_failure(observation.may_eject, config, now);
        }
    }

    /// Applies a crash or a failure to connect.
    ///
    /// Either the connection or the server may have failed. The next response shows which: its
    /// start id is unchanged only if the server did not restart.
    fn apply_crash(&mut self, observation: &Observation<'_>, config: &Config, now: Instant) {
        let warm = (!self.is_cold()).then(|| self.allowance());
        let allowance = self
            .allowance_before_crash
            .or(warm)
            .filter(|_| self.start_id.is_some());
        self.speed.record_ratio(FAILURE_RATIO, now);
        self.reset_to_cold(now);
        self.allowance_before_crash = allowance;
        if !observation.request_blamed {
            self.record_failure(true, config, now);
        }
    }

    fn apply_shed(&mut self, observation: &Observation<'_>, config: &Config, now: Instant) {
        let at_minimum = self.allowance() == 1;
        self.speed
            .record_ratio(observation.ratio.max(FAILURE_RATIO), now);
        self.ramp
            .record_shed(observation.load, config.shed_backoff, now);
        if at_minimum {
            self.record_failure(observation.may_eject, config, now);
        }
    }

    /// Records a failure, and ejects the server if it reaches the limit.
    ///
    /// A server that may not be ejected, because too few others are usable, is only reset to cold.
    fn record_failure(&mut self, may_eject: bool, config: &Config, now: Instant) {
        if !self.health.record_failure(config.failure_limit) {
            return;
        }
        if may_eject {
            self.health.eject(config, now);
            self.speed.record_ratio(EJECTION_RATIO, now);
        }
        self.reset_to_cold(now);
    }
}
