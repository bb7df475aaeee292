//! All that a pool knows of one server.

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

/// The ratio that a failed or refused attempt counts for at least, so that a server that fails
/// fast does not look fast.
const FAILURE_RATIO: f64 = 4.0;

/// The ratio that an attempt without an answer in time counts for at least.
const TIMEOUT_RATIO: f64 = 8.0;

/// The ratio that an ejection counts for at least, so that after it other servers come first.
const EJECTION_RATIO: f64 = 32.0;

/// All that a pool knows of one server.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// The name of the server.
    pub(crate) name: id::Server,
    /// Whether the list has the server.
    pub(crate) listed: bool,
    /// Whether the list shows the server as leaving.
    pub(crate) leaving: bool,
    /// The number of live credits.
    pub(crate) live: u32,
    /// Rises whenever the server is set back to a cold start. Credits granted before tell nothing
    /// of the server as it is now.
    pub(crate) generation: u64,
    /// When the last grant was, or the creation, as a count of both.
    pub(crate) sequence: u64,
    /// Since when nothing has been heard of the server and no probe was sent.
    pub(crate) idle_since: Instant,
    ramp: Ramp,
    speed: Speed,
    health: Health,
    start_id: Option<StartId>,
    previous_start_id: Option<StartId>,
    /// The allowance before a crash, given back if the same run answers next.
    allowance_before_crash: Option<u32>,
    /// Whether the server has answered since it is cold or on trial.
    confirmed: bool,
    /// Whether the server is cold because it has started, so that it will be fast once it has
    /// answered for a while.
    starting: bool,
}

impl Record {
    /// Returns the record of a cold server that is not listed.
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

    /// Takes over what the list says. A server that was not to be used until now starts cold.
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

    /// Sets the server back to a cold start, because it has started.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.reset_to_cold(now);
        self.starting = true;
    }

    /// Sets the server back to a cold start.
    pub(crate) fn reset_to_cold(&mut self, now: Instant) {
        self.ramp.reset(now);
        self.generation += 1;
        self.idle_since = now;
        self.allowance_before_crash = None;
        self.confirmed = false;
        self.starting = false;
    }

    /// Returns whether the list has the server and does not show it as leaving.
    pub(crate) fn is_member(&self) -> bool {
        self.listed && !self.leaving
    }

    /// Returns whether the server may get credits.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_member() && self.health.pause().is_none()
    }

    /// Returns the number of credits that may be live.
    pub(crate) fn allowance(&self) -> u32 {
        self.ramp.allowance()
    }

    /// Returns the number of requests that the server takes at once when it is warm.
    pub(crate) fn slots(&self) -> u32 {
        self.ramp.slots()
    }

    /// Returns whether the server may be in a cold start.
    pub(crate) fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Returns whether a probe would tell something that answers have not told.
    pub(crate) fn needs_probe(&self) -> bool {
        let uncertain = self.ramp.is_cold() || self.health.is_half_open();
        uncertain && !self.confirmed
    }

    /// Returns whether the server came back from a pause and has not answered since.
    pub(crate) fn is_half_open(&self) -> bool {
        self.health.is_half_open()
    }

    /// Returns how slow the server is in comparisons, in steps.
    ///
    /// A server that has started is not passed over for being slow: it would stay cold for long.
    pub(crate) fn slowness(&self) -> u64 {
        if self.starting && self.is_cold() {
            speed::BASE_SLOWNESS
        } else {
            self.speed.slowness()
        }
    }

    /// Returns when the state of the server changes by time alone.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        let pause = self.health.pause().map(|p| p.until);
        pause.into_iter().chain(self.speed.next_decay()).min()
    }

    /// Takes over what an earlier owner reported, if nothing was heard of the server yet.
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

    /// Makes the changes that are due by time alone.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.speed.decay(now);
        if self.health.end_pause(now) {
            // Calls come back last; a probe may go first.
            self.speed.record_ratio(EJECTION_RATIO, now);
            self.idle_since = now;
        }
    }

    /// Takes in feedback.
    pub(crate) fn apply(&mut self, observation: &Observation<'_>, config: &Config, now: Instant) {
        let feedback = observation.feedback;
        if feedback.start_id.is_some() && feedback.start_id == self.previous_start_id {
            // A late answer of a run that has ended.
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

    /// Returns what to report of the server.
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

    /// Notes the run that answered, and returns whether it is another than before.
    fn has_restarted(&mut self, start_id: Option<StartId>) -> bool {
        if start_id.is_none() || start_id == self.start_id {
            return false;
        }
        self.previous_start_id = self.start_id;
        self.start_id = start_id;
        self.previous_start_id.is_some()
    }

    /// Judges the server by an attempt that it was as it is now for.
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
            // It shows that the server can be reached, and no more: what serves probes is often
            // fast and well when the rest is not.
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
                // What it showed in the cold start says nothing of its speed.
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

    /// A server in a cold start is slow, and slower with each request that it has at once: it has
    /// to be as fast as warm servers, or to have answered more often where none is known.
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

    /// A crash may be the end of one connection or of the server, and the next answer tells which:
    /// the same run answers only if the server lives on.
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

    /// Counts a failure, and ejects the server if it is one too many.
    ///
    /// A server that must stay for want of others is set back to a cold start instead.
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
