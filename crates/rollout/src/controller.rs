//! Decides on one rollout of one service.
//!
//! A rollout begins with a small share for the new version, a canary, which grows step by step to
//! all traffic. The share is held while there is some evidence against the new version, and the
//! rollout is rolled back once the evidence is significant.
//!
//! At full share the old version has no responses to compare with. If the new version then looks
//! worse than the old one did before, the old version gets half of the traffic back for a control
//! comparison, which either rolls the rollout back or dismisses the alarm.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::action::Action;
use crate::analysis::{self, Analysis, Fault};
use crate::checkpoint::Checkpoint;
use crate::comparison::Comparison;
use crate::evidence::Evidence;
use crate::jackknife::{ALPHA, HOLD_E_VALUE};
use crate::origin::Origin;
use crate::pace::{self, Pace, CONTROL_SHARE};
use crate::pair::Pair;
use crate::plan::Plan;
use crate::progress::{self, Progress};
use crate::reason::Reason;
use crate::sample::Sample;
use crate::state::State;
use crate::tally::Tally;

/// How long a finished rollout is monitored for a late fault.
pub const WATCH_TIME: Duration = Duration::from_secs(900);

/// The longest time between two records of a rollout in progress.
const RECORD_INTERVAL: Duration = Duration::from_secs(10);

/// The greatest e-value that is recorded.
const MAX_RECORDED_E_VALUE: f64 = 1e6;

/// The shortest time of a control comparison.
const CONTROL_TIME: Duration = Duration::from_secs(20);

/// Decides on one rollout of one service.
#[derive(Clone, Debug)]
pub struct Controller {
    plan: Plan,
    pace: Pace,
    state: State,
    share: f64,
    /// When the rollout began.
    start: Instant,
    /// When the share last changed.
    share_since: Instant,
    /// Whether the old version has part of the traffic for a control comparison.
    control: bool,
    /// Until when a finished rollout is monitored.
    watched_until: Option<Instant>,
    comparisons: BTreeMap<id::Route, Comparison>,
    /// The evidence of all routes together.
    pooled: Analysis,
    /// The reason for which the rollout was rolled back.
    rollback_reason: Option<String>,
    /// When the progress was last recorded.
    recorded_at: Option<Instant>,
    /// The time of the last step.
    now: Instant,
}

impl Controller {
    /// Returns the controller of a rollout that no instance has led before.
    pub fn new(plan: Plan) -> Self {
        let start = plan.started();
        Self {
            pace: Pace::new(start, plan.deadline()),
            plan,
            state: State::Planned,
            share: 0.0,
            start,
            share_since: start,
            control: false,
            watched_until: None,
            comparisons: BTreeMap::new(),
            pooled: Analysis::new(),
            rollback_reason: None,
            recorded_at: None,
            now: start,
        }
    }

    /// Returns the controller of a rollout that another instance has led, resumed from `progress`.
    pub fn resume(plan: Plan, progress: &Progress, now: Instant) -> Self {
        let watched_until = progress.watched_until.map(|wall| plan.instant(wall));
        let restore = |route: &progress::Route| {
            let total = Pair {
                old: route.old,
                new: route.new,
            };
            let comparison = Comparison::restore(total, route.slow_limit_us);
            (route.name.clone(), comparison)
        };
        let checkpoint = &progress.checkpoint;
        let mut controller = Self {
            pace: Pace::new(now.before(checkpoint.elapsed), plan.deadline()),
            start: now.before(checkpoint.elapsed),
            pooled: checkpoint.pooled.clone(),
            state: progress.state,
            share: progress.share,
            share_since: now.before(checkpoint.at_share),
            control: checkpoint.control,
            watched_until,
            comparisons: progress.routes.iter().map(restore).collect(),
            rollback_reason: (progress.state == State::RolledBack).then(|| progress.reason.clone()),
            now,
            ..Self::new(plan)
        };
        for (route, analysis, level) in &checkpoint.routes {
            if let Some(comparison) = controller.comparisons.get_mut(route) {
                comparison.restore_evidence(analysis, *level);
            }
        }
        controller
    }

    /// Returns the state of the rollout.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the share of the new version, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether the rollout can no longer change.
    pub fn is_final(&self) -> bool {
        match self.state {
            State::RolledBack => true,
            State::Done => self.watched_until.is_none(),
            State::Planned | State::Canary | State::Ramping => false,
        }
    }

    /// Counts responses of backend servers.
    pub fn observe(&mut self, sample: &Sample) {
        let mut tally = Tally::default();
        tally.observe(sample);
        self.count(&sample.origin, &tally);
    }

    /// Counts the responses that the owner of a pool reports.
    pub fn merge(&mut self, evidence: &Evidence) {
        for (origin, tally) in evidence.iter() {
            self.count(origin, tally);
        }
    }

    /// Adds the responses of one origin to the comparison of its route. Other versions than the two
    /// of the rollout are ignored.
    fn count(&mut self, origin: &Origin, tally: &Tally) {
        if self.is_final() {
            return;
        }
        let is_new = origin.version == self.plan.to;
        if !is_new && origin.version != self.plan.from {
            return;
        }
        let route = self.comparisons.entry(origin.route.clone());
        let comparison = route.or_insert_with(Comparison::new);
        if is_new {
            comparison.observe_new(&origin.centre, &origin.server, tally, self.now);
        } else {
            comparison.observe_old(&origin.centre, tally, self.now);
        }
    }

    /// Evaluates the responses counted so far and returns the actions to take. Call it about once a
    /// second, and at the deadline.
    pub fn step(&mut self, now: Instant) -> Vec<Action> {
        self.now = now;
        let mut actions = Vec::new();
        if self.recorded_at.is_none() && self.state != State::Planned {
            // A new lead owner sets the current share again.
            actions.push(Action::SetShare(self.share));
        }
        if !self.is_final() {
            self.evaluate(now);
            self.decide(now, &mut actions);
        }
        if !actions.is_empty() || self.is_record_due(now) {
            self.recorded_at = Some(now);
            actions.push(Action::Record(self.progress()));
        }
        actions
    }

    /// Adds the periods that have ended to the tests.
    fn evaluate(&mut self, now: Instant) {
        let alone = self.share >= 1.0;
        for comparison in self.comparisons.values_mut() {
            comparison.step(alone, &mut self.pooled, now);
        }
    }

    /// Makes the decision that is due, if any.
    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(reason) = self.significant_fault() {
            return self.roll_back(reason, actions);
        }
        if self.state == State::Done {
            return self.monitor(now, actions);
        }
        if now >= self.plan.deadline() {
            return self.end_at_deadline(now, actions);
        }
        if self.state == State::Planned {
            self.state = State::Canary;
            let share = pace::first_share(self.plan.first_share);
            return self.set_share(share, now, actions);
        }
        if self.is_control_change_due(now) {
            return self.toggle_control(now, actions);
        }
        if !self.control && !self.is_holding() && self.is_level_over(now) {
            self.advance(now, actions);
        }
    }

    /// Ends the rollout at its deadline.
    fn end_at_deadline(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.is_holding() {
            self.roll_back(Reason::Inconclusive, actions);
        } else if self.share < 1.0 {
            self.roll_back(Reason::Deadline, actions);
        } else {
            self.finish(now, actions);
        }
    }

    /// Monitors a finished rollout for a late fault.
    fn monitor(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_over = self.watched_until.is_some_and(|end| now >= end);
        if is_over && self.is_holding() {
            return self.roll_back(Reason::Inconclusive, actions);
        }
        if self.is_control_change_due(now) || (is_over && self.control && self.has_min_responses())
        {
            self.toggle_control(now, actions);
        }
        // A control comparison without enough responses prolongs the monitoring.
        if is_over && !self.control {
            self.watched_until = None;
            actions.push(Action::Finish);
        }
    }

    /// Returns whether a control comparison has to begin, or the current one to end.
    fn is_control_change_due(&self, now: Instant) -> bool {
        if self.control {
            let is_time_over = now - self.share_since >= CONTROL_TIME;
            return is_time_over && self.has_min_responses() && !self.is_holding();
        }
        let is_alarm_raised = self.comparisons.values().any(Comparison::is_alarm_raised);
        // Just before the deadline there is no time for it; the finished rollout is monitored.
        let is_too_late =
            self.state != State::Done && now + 2 * CONTROL_TIME >= self.plan.deadline();
        self.share >= 1.0 && is_alarm_raised && !is_too_late
    }

    /// Begins a control comparison, or ends it and dismisses the alarm.
    fn toggle_control(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.control {
            let comparisons = self.comparisons.values_mut();
            comparisons.for_each(|comparison| comparison.dismiss(now));
        }
        self.control = !self.control;
        let share = if self.control { CONTROL_SHARE } else { 1.0 };
        self.set_share(share, now, actions);
    }

    /// Raises the share to the next one, or finishes the rollout at the last one.
    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.share >= 1.0 {
            return self.finish(now, actions);
        }
        self.state = State::Ramping;
        self.set_share(pace::next_share(self.share), now, actions);
    }

    /// Ends the rollout with all traffic at the new version.
    fn finish(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.state = State::Done;
        self.watched_until = Some(now + WATCH_TIME);
        actions.push(Action::Finish);
    }

    /// Ends the rollout with no traffic at the new version, for good.
    fn roll_back(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        self.state = State::RolledBack;
        self.share = 0.0;
        self.control = false;
        self.watched_until = None;
        self.rollback_reason = Some(reason.to_string());
        actions.push(Action::SetShare(0.0));
        actions.push(Action::RollBack(reason));
    }

    /// Sets the share and begins a new level.
    fn set_share(&mut self, share: f64, now: Instant, actions: &mut Vec<Action>) {
        self.share = share;
        self.share_since = now;
        for comparison in self.comparisons.values_mut() {
            comparison.begin_level(&mut self.pooled, now);
        }
        actions.push(Action::SetShare(share));
    }

    /// Returns the fault of the new version for which the evidence is significant.
    fn significant_fault(&self) -> Option<Reason> {
        let routes = self.plan.routes.max(self.comparisons.len());
        // The Bonferroni correction, with one more analysis of all routes together.
        let threshold = ((routes + 1) * analysis::TESTS) as f64 / ALPHA;
        self.fault(threshold)
    }

    /// Returns the analyses of each route and of all routes together.
    fn analyses(&self) -> impl Iterator<Item = &Analysis> {
        let routes = self.comparisons.values().map(Comparison::analysis);
        routes.chain([&self.pooled])
    }

    /// Returns whether the share is held because of some evidence against the new version.
    fn is_holding(&self) -> bool {
        self.fault(HOLD_E_VALUE).is_some()
    }

    /// Returns the fault of the new version whose e-value is at least `threshold`.
    fn fault(&self, threshold: f64) -> Option<Reason> {
        let faults = self.comparisons.iter().map(|(route, comparison)| {
            let fault = comparison.analysis().fault(threshold);
            (Some(route.clone()), fault)
        });
        let pooled = (None, self.pooled.fault(threshold));
        let reason = |(route, fault): (Option<id::Route>, Option<Fault>)| match fault? {
            Fault::Failing => Some(Reason::Failing { route }),
            Fault::Slow => Some(Reason::Slow { route }),
        };
        faults.chain([pooled]).find_map(reason)
    }

    /// Returns whether there is some evidence of a fault, for which a single server may account.
    fn has_any_evidence(&self) -> bool {
        self.analyses()
            .any(|analysis| analysis.whole_e_value() >= HOLD_E_VALUE)
    }

    /// Returns whether the current share has lasted long enough for the number of its responses.
    fn is_level_over(&self, now: Instant) -> bool {
        let levels = self.comparisons.values().map(Comparison::level);
        if pace::has_enough(levels) {
            return self.pace.is_hold_over(self.share, self.share_since, now);
        }
        // With few responses, a fault of one server can hardly be told from one of the version.
        let is_safe = self.has_min_responses() && !self.has_any_evidence();
        is_safe && self.pace.is_slot_over(self.share, self.share_since, now)
    }

    /// Returns whether there are the responses that are required before the share may grow.
    fn has_min_responses(&self) -> bool {
        let levels = self.comparisons.values().map(Comparison::level);
        pace::has_minimum(levels)
    }

    /// Returns whether the progress is due to be recorded although nothing has changed.
    fn is_record_due(&self, now: Instant) -> bool {
        let is_due = |recorded_at| now - recorded_at >= RECORD_INTERVAL;
        !self.is_final() && self.recorded_at.is_none_or(is_due)
    }

    /// Returns the progress to store.
    pub fn progress(&self) -> Progress {
        let route = |(name, comparison): (&id::Route, &Comparison)| progress::Route {
            name: name.clone(),
            slow_limit_us: comparison.slow_limit(),
            old: comparison.total().old,
            new: comparison.total().new,
            failing: round_e_value(comparison.analysis().failing()),
            slow: round_e_value(comparison.analysis().slow()),
        };
        Progress {
            from: self.plan.from.clone(),
            to: self.plan.to.clone(),
            state: self.state,
            share: self.share,
            deadline: self.plan.deadline,
            watched_until: self.watched_until.map(|end| self.plan.wall(end)),
            reason: self
                .rollback_reason
                .clone()
                .unwrap_or_else(|| self.reason().to_string()),
            routes: self.comparisons.iter().map(route).collect(),
            checkpoint: Box::new(self.checkpoint()),
        }
    }

    /// Returns the state from which a new lead owner resumes. It is empty if the rollout is final.
    fn checkpoint(&self) -> Checkpoint {
        if self.is_final() {
            return Checkpoint::default();
        }
        let route = |(name, comparison): (&id::Route, &Comparison)| {
            let analysis = comparison.analysis().clone();
            (name.clone(), analysis, comparison.level())
        };
        Checkpoint {
            elapsed: whole_millis(self.now - self.start),
            at_share: whole_millis(self.now - self.share_since),
            control: self.control,
            pooled: self.pooled.clone(),
            routes: self.comparisons.iter().map(route).collect(),
        }
    }

    /// Returns the reason for the state of a rollout that was not rolled back.
    fn reason(&self) -> Reason {
        match self.state {
            State::Planned => Reason::Waiting,
            _ if self.control => Reason::Confirming,
            State::Done if self.watched_until.is_some() => Reason::Watching,
            State::Done => Reason::Done,
            State::Canary | State::Ramping | State::RolledBack if self.is_holding() => {
                Reason::Holding
            }
            State::Canary | State::Ramping | State::RolledBack => Reason::Comparing,
        }
    }
}

/// Returns `e_value` as operators read it: limited to [`MAX_RECORDED_E_VALUE`], which is certainty,
/// and rounded to one decimal.
fn round_e_value(e_value: f64) -> f64 {
    (e_value.min(MAX_RECORDED_E_VALUE) * 10.0).round() / 10.0
}

/// Returns `duration` in whole milliseconds, as it is stored.
fn whole_millis(duration: Duration) -> Duration {
    Duration::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
