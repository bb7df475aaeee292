//! All that a pool knows of one server.

use clock::Instant;
use contract::id;

use super::health::Health;
use super::pace::{self, Pace};
use super::pause::Cause;
use super::report::Report;
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
    pub(crate) turn: u64,
    /// Since when nothing has been heard of the server and no probe was sent.
    pub(crate) quiet_since: Instant,
    ramp: Ramp,
    pace: Pace,
    health: Health,
    start: Option<StartId>,
    previous_start: Option<StartId>,
    /// The allowance before a crash, given back if the same run answers next.
    suspended: Option<u32>,
    /// Whether the server has answered since it is cold or on trial.
    vouched: bool,
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
            turn: 0,
            quiet_since: now,
            ramp: Ramp::new(config.slots, config.growth_responses, now),
            pace: Pace::new(now),
            health: Health::default(),
            start: None,
            previous_start: None,
            suspended: None,
            vouched: false,
            starting: false,
        }
    }

    /// Takes over what the list says. A server that was not to be used until now starts cold.
    pub(crate) fn list(&mut self, leaving: bool, config: &Config, now: Instant) {
        let fresh = !self.listed || self.leaving;
        self.listed = true;
        self.leaving = leaving;
        if fresh && !leaving {
            self.health = Health::default();
            self.pace = Pace::new(now);
            self.ramp = Ramp::new(config.slots, config.growth_responses, now);
            self.restart(now);
        }
    }

    /// Sets the server back to a cold start, because it has started.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.chill(now);
        self.starting = true;
    }

    /// Sets the server back to a cold start.
    pub(crate) fn chill(&mut self, now: Instant) {
        self.ramp.reset(now);
        self.generation += 1;
        self.quiet_since = now;
        self.suspended = None;
        self.vouched = false;
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
    pub(crate) fn is_doubtful(&self) -> bool {
        let doubt = self.ramp.is_cold() || self.health.on_trial();
        doubt && !self.vouched
    }

    /// Returns whether the server came back from a pause and has not answered since.
    pub(crate) fn on_trial(&self) -> bool {
        self.health.on_trial()
    }

    /// Returns how slow the server is in comparisons, in steps.
    ///
    /// A server that has started is not passed over for being slow: it would stay cold for long.
    pub(crate) fn steps(&self) -> u64 {
        if self.starting && self.is_cold() {
            pace::EVEN
        } else {
            self.pace.steps()
        }
    }

    /// Returns when the state of the server changes by time alone.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        let pause = self.health.pause().map(|p| p.until);
        pause.into_iter().chain(self.pace.relaxes()).min()
    }

    /// Takes over what an earlier owner reported, if nothing was heard of the server yet.
    pub(crate) fn inherit(&mut self, state: &State, config: &Config, now: Instant) {
        if !self.is_usable() || self.start.is_some() {
            return;
        }
        self.start = state.start_id;
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
        self.pace.relax(now);
        if self.health.wake(now) {
            // Calls come back last; a probe may go first.
            self.pace.observe(EJECTION_RATIO, now);
            self.quiet_since = now;
        }
    }

    /// Takes in feedback.
    pub(crate) fn learn(&mut self, report: &Report<'_>, config: &Config, now: Instant) {
        let feedback = report.feedback;
        if feedback.start_id.is_some() && feedback.start_id == self.previous_start {
            // A late answer of a run that has ended.
            return;
        }
        let mut current = report.generation == self.generation;
        self.quiet_since = now;
        if self.has_restarted(feedback.start_id) {
            self.restart(now);
            current = false;
        }
        if feedback.draining {
            self.health.drain(config, now);
            self.chill(now);
            current = false;
        }
        if current {
            self.judge(report, config, now);
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
            latency: self.pace.latency(),
            start_id: self.start,
        }
    }

    /// Notes the run that answered, and returns whether it is another than before.
    fn has_restarted(&mut self, start: Option<StartId>) -> bool {
        if start.is_none() || start == self.start {
            return false;
        }
        self.previous_start = self.start;
        self.start = start;
        self.previous_start.is_some()
    }

    /// Judges the server by an attempt that it was as it is now for.
    fn judge(&mut self, report: &Report<'_>, config: &Config, now: Instant) {
        let ratio = report.ratio;
        match report.feedback.outcome {
            Outcome::Answered => self.judge_answer(report, now),
            Outcome::Failed => {
                self.pace.observe(ratio.max(FAILURE_RATIO), now);
                self.judge_failure(report, config, now);
            }
            Outcome::Shed => self.judge_shed(report, config, now),
            Outcome::Crashed | Outcome::Unreachable => self.judge_crash(report, config, now),
            Outcome::TimedOut => {
                self.pace.observe(ratio.max(TIMEOUT_RATIO), now);
                self.judge_failure(report, config, now);
            }
            Outcome::Abandoned => self.pace.observe_at_least(ratio, now),
        }
    }

    fn judge_answer(&mut self, report: &Report<'_>, now: Instant) {
        let ratio = report.ratio;
        self.vouched = true;
        if self.health.on_trial() {
            self.pace.reset();
        }
        let suspended = self.suspended.take();
        let suspended = suspended.filter(|_| report.feedback.start_id.is_some());
        if let Some(allowance) = suspended {
            self.ramp.restore(allowance);
        }
        if report.probe {
            // It shows that the server can be reached, and no more: what serves probes is often
            // fast and well when the rest is not.
            return;
        }
        let settled = self.ramp.is_settled(now);
        self.starting &= !settled;
        let latency = report.feedback.latency;
        let jumped = self.pace.answer(ratio, latency, settled, now);
        self.health.succeed();
        if self.is_cold() {
            self.judge_cold_answer(report, now);
            if !self.is_cold() && !settled {
                // What it showed in the cold start says nothing of its speed.
                self.pace.reset();
            }
        } else if jumped {
            self.chill(now);
        } else if self.pace.is_good(ratio) {
            self.ramp.record_good(now);
        }
        if !self.is_cold() {
            self.health.restore();
        }
    }

    /// A server in a cold start is slow, and slower with each request that it has at once: it has
    /// to be as fast as warm servers, or to have answered more often where none is known.
    fn judge_cold_answer(&mut self, report: &Report<'_>, now: Instant) {
        self.ramp.record_cold_response();
        if !report.compared {
            self.ramp.record_unrated(now);
        } else if self.pace.is_warm(report.ratio) {
            self.ramp.record_good(now);
        } else {
            self.ramp.reset_progress();
        }
    }

    fn judge_failure(&mut self, report: &Report<'_>, config: &Config, now: Instant) {
        if !report.excused {
            self.fail(report.spared, config, now);
        }
    }

    /// A crash may be the end of one connection or of the server, and the next answer tells which:
    /// the same run answers only if the server lives on.
    fn judge_crash(&mut self, report: &Report<'_>, config: &Config, now: Instant) {
        let warm = (!self.is_cold()).then(|| self.allowance());
        let allowance = self.suspended.or(warm).filter(|_| self.start.is_some());
        self.pace.observe(FAILURE_RATIO, now);
        self.chill(now);
        self.suspended = allowance;
        if !report.request_blamed {
            self.fail(true, config, now);
        }
    }

    fn judge_shed(&mut self, report: &Report<'_>, config: &Config, now: Instant) {
        let bears_nothing = self.allowance() == 1;
        self.pace.observe(report.ratio.max(FAILURE_RATIO), now);
        self.ramp.record_shed(report.load, config.shed_backoff, now);
        if bears_nothing {
            self.fail(report.spared, config, now);
        }
    }

    /// Counts a failure, and ejects the server if it is one too many.
    ///
    /// A server that must stay for want of others is set back to a cold start instead.
    fn fail(&mut self, may_eject: bool, config: &Config, now: Instant) {
        if !self.health.fail(config.failure_limit) {
            return;
        }
        if may_eject {
            self.health.eject(config, now);
            self.pace.observe(EJECTION_RATIO, now);
        }
        self.chill(now);
    }
}
