//! The decisions on one move.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;
use contract::id;

use crate::action::Action;
use crate::analysis::{self, Analysis, Fault};
use crate::checkpoint::Checkpoint;
use crate::comparison::Comparison;
use crate::evidence::Evidence;
use crate::jackknife::{ALPHA, DOUBT};
use crate::origin::Origin;
use crate::pace::{self, Pace, CONTROL_SHARE};
use crate::pair::Pair;
use crate::plan::Plan;
use crate::progress::{self, Progress};
use crate::reason::Reason;
use crate::sample::Sample;
use crate::state::State;
use crate::tally::Tally;

/// How long a finished move is watched for a late fault.
pub const WATCH_TIME: Duration = Duration::from_secs(900);

/// The longest time between two records of a move under way.
const RECORD_INTERVAL: Duration = Duration::from_secs(10);

/// The greatest evidence that is recorded.
const MOST_EVIDENCE: f64 = 1e6;

/// How long the old version gets a part of the traffic back to confirm a suspicion.
const CONTROL_TIME: Duration = Duration::from_secs(20);

/// The decisions on one move of one service.
#[derive(Clone, Debug)]
pub struct Controller {
    plan: Plan,
    pace: Pace,
    state: State,
    share: f64,
    /// When the move began.
    start: Instant,
    /// Since when the share is what it is.
    since: Instant,
    /// Whether the old version has a part of the traffic to confirm a suspicion.
    control: bool,
    /// Until when a finished move is watched.
    watched_until: Option<Instant>,
    comparisons: BTreeMap<id::Route, Comparison>,
    /// The evidence of all routes together.
    pooled: Analysis,
    /// Why the move was taken back, in words.
    fault: Option<String>,
    /// When the move was last recorded.
    recorded: Option<Instant>,
    /// The time of the last step.
    now: Instant,
}

impl Controller {
    /// Returns the controller of a move that nobody has led before.
    pub fn new(plan: Plan) -> Self {
        let start = plan.started();
        Self {
            pace: Pace::new(start, plan.deadline()),
            plan,
            state: State::Planned,
            share: 0.0,
            start,
            since: start,
            control: false,
            watched_until: None,
            comparisons: BTreeMap::new(),
            pooled: Analysis::new(),
            fault: None,
            recorded: None,
            now: start,
        }
    }

    /// Returns the controller of a move that another has led, as `progress` shows it, at `now`.
    ///
    /// The evidence goes on from that of the record.
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
            since: now.before(checkpoint.stayed),
            control: checkpoint.control,
            watched_until,
            comparisons: progress.routes.iter().map(restore).collect(),
            fault: (progress.state == State::RolledBack).then(|| progress.reason.clone()),
            now,
            ..Self::new(plan)
        };
        for (route, verdict, level) in &checkpoint.routes {
            if let Some(comparison) = controller.comparisons.get_mut(route) {
                comparison.recall(verdict, *level);
            }
        }
        controller
    }

    /// Returns the state of the move.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the share of the new version, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether nothing can change any more.
    pub fn is_final(&self) -> bool {
        match self.state {
            State::RolledBack => true,
            State::Done => self.watched_until.is_none(),
            State::Planned | State::Canary | State::Ramping => false,
        }
    }

    /// Counts answers of backend servers.
    pub fn observe(&mut self, sample: &Sample) {
        let mut tally = Tally::default();
        tally.observe(sample);
        self.count(&sample.origin, &tally);
    }

    /// Counts the answers that the owner of a pool reports.
    pub fn merge(&mut self, evidence: &Evidence) {
        for (origin, tally) in evidence.iter() {
            self.count(origin, tally);
        }
    }

    /// Gives the answers of one origin to the comparison of its route.
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

    /// Weighs what was counted and returns what to do. To be called about once a second, and at the
    /// deadline.
    pub fn step(&mut self, now: Instant) -> Vec<Action> {
        self.now = now;
        let mut actions = Vec::new();
        if self.recorded.is_none() && self.state != State::Planned {
            // A new lead owner repeats the share that was reached.
            actions.push(Action::SetShare(self.share));
        }
        if !self.is_final() {
            self.weigh(now);
            self.decide(now, &mut actions);
        }
        if !actions.is_empty() || self.is_record_due(now) {
            self.recorded = Some(now);
            actions.push(Action::Record(self.progress()));
        }
        actions
    }

    /// Weighs the periods that are over.
    fn weigh(&mut self, now: Instant) {
        let alone = self.share >= 1.0;
        for comparison in self.comparisons.values_mut() {
            comparison.step(alone, &mut self.pooled, now);
        }
    }

    /// Takes the decision that is due, if any.
    fn decide(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(reason) = self.verdict() {
            return self.take_back(reason, actions);
        }
        if self.state == State::Done {
            return self.watch(now, actions);
        }
        if now >= self.plan.deadline() {
            return self.close(now, actions);
        }
        if self.state == State::Planned {
            self.state = State::Canary;
            let share = pace::first_share(self.plan.first_share);
            return self.set_share(share, now, actions);
        }
        if self.is_control_called(now) {
            return self.toggle_control(now, actions);
        }
        if !self.control && !self.is_in_doubt() && self.is_level_over(now) {
            self.advance(now, actions);
        }
    }

    /// Ends the move at its deadline.
    fn close(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.is_in_doubt() {
            self.take_back(Reason::Inconclusive, actions);
        } else if self.share < 1.0 {
            self.take_back(Reason::Deadline, actions);
        } else {
            self.finish(now, actions);
        }
    }

    /// Watches a finished move for a late fault.
    fn watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_over = self.watched_until.is_some_and(|end| now >= end);
        if is_over && self.is_in_doubt() {
            return self.take_back(Reason::Inconclusive, actions);
        }
        if self.is_control_called(now) || (is_over && self.control && self.has_answers()) {
            self.toggle_control(now, actions);
        }
        // A suspicion that nothing has answered yet keeps the watch up.
        if is_over && !self.control {
            self.watched_until = None;
            actions.push(Action::Finish);
        }
    }

    /// Returns whether the old version is to get a part of the traffic back, or to lose it again.
    fn is_control_called(&self, now: Instant) -> bool {
        if self.control {
            let stayed = now - self.since >= CONTROL_TIME;
            return stayed && self.has_answers() && !self.is_in_doubt();
        }
        let is_suspicious = self.comparisons.values().any(Comparison::is_suspicious);
        // A move has no time for it just before its deadline; it is watched afterwards.
        let late = self.state != State::Done && now + 2 * CONTROL_TIME >= self.plan.deadline();
        self.share >= 1.0 && is_suspicious && !late
    }

    /// Gives the old version a part of the traffic back, or ends that.
    fn toggle_control(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.control {
            let comparisons = self.comparisons.values_mut();
            comparisons.for_each(|comparison| comparison.excuse(now));
        }
        self.control = !self.control;
        let share = if self.control { CONTROL_SHARE } else { 1.0 };
        self.set_share(share, now, actions);
    }

    /// Goes on to the next share, or ends the move at the last one.
    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.share >= 1.0 {
            return self.finish(now, actions);
        }
        self.state = State::Ramping;
        self.set_share(pace::next_share(self.share), now, actions);
    }

    /// Ends the move with all traffic at the new version.
    fn finish(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.state = State::Done;
        self.watched_until = Some(now + WATCH_TIME);
        actions.push(Action::Finish);
    }

    /// Ends the move with no traffic at the new version, for good.
    fn take_back(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        self.state = State::RolledBack;
        self.share = 0.0;
        self.control = false;
        self.watched_until = None;
        self.fault = Some(reason.to_string());
        actions.push(Action::SetShare(0.0));
        actions.push(Action::RollBack(reason));
    }

    /// Sets the share, at which nothing is known yet.
    fn set_share(&mut self, share: f64, now: Instant, actions: &mut Vec<Action>) {
        self.share = share;
        self.since = now;
        for comparison in self.comparisons.values_mut() {
            comparison.begin_level(&mut self.pooled, now);
        }
        actions.push(Action::SetShare(share));
    }

    /// Returns the fault of the new version, if the evidence is strong enough.
    fn verdict(&self) -> Option<Reason> {
        let routes = self.plan.routes.max(self.comparisons.len());
        // The bound of Bonferroni, with one more verdict on all routes together.
        let threshold = ((routes + 1) * analysis::TESTS) as f64 / ALPHA;
        self.fault(threshold)
    }

    /// Returns the verdicts on each route and on all.
    fn verdicts(&self) -> impl Iterator<Item = &Analysis> {
        let routes = self.comparisons.values().map(Comparison::verdict);
        routes.chain([&self.pooled])
    }

    /// Returns whether the share is not to grow.
    fn is_in_doubt(&self) -> bool {
        self.fault(DOUBT).is_some()
    }

    /// Returns the fault of the new version for which there is evidence of at least `threshold`.
    fn fault(&self, threshold: f64) -> Option<Reason> {
        let faults = self.comparisons.iter().map(|(route, comparison)| {
            let fault = comparison.verdict().fault(threshold);
            (Some(route.clone()), fault)
        });
        let pooled = (None, self.pooled.fault(threshold));
        let reason = |(route, fault): (Option<id::Route>, Option<Fault>)| match fault? {
            Fault::Failing => Some(Reason::Failing { route }),
            Fault::Slow => Some(Reason::Slow { route }),
        };
        faults.chain([pooled]).find_map(reason)
    }

    /// Returns whether there is evidence of a fault that one server alone may make up.
    fn is_suspect(&self) -> bool {
        self.verdicts().any(|verdict| verdict.suspicion() >= DOUBT)
    }

    /// Returns whether the present share has lasted long enough and seen enough.
    fn is_level_over(&self, now: Instant) -> bool {
        let levels = self.comparisons.values().map(Comparison::level);
        if pace::has_enough(levels) {
            return self.pace.is_stay_over(self.share, self.since, now);
        }
        // With few answers the servers can hardly be told apart.
        let safe = self.has_answers() && !self.is_suspect();
        safe && self.pace.is_slot_over(self.share, self.since, now)
    }

    /// Returns whether there are the answers without which no share grows.
    fn has_answers(&self) -> bool {
        let levels = self.comparisons.values().map(Comparison::level);
        pace::has_least(levels)
    }

    /// Returns whether the evidence is to be recorded although nothing has changed.
    fn is_record_due(&self, now: Instant) -> bool {
        let due = |recorded| now - recorded >= RECORD_INTERVAL;
        !self.is_final() && self.recorded.is_none_or(due)
    }

    /// Returns what is kept of the move.
    pub fn progress(&self) -> Progress {
        let route = |(name, comparison): (&id::Route, &Comparison)| progress::Route {
            name: name.clone(),
            slow_limit_us: comparison.limit(),
            old: comparison.total().old,
            new: comparison.total().new,
            failing: readable(comparison.verdict().failing()),
            slow: readable(comparison.verdict().slow()),
        };
        Progress {
            from: self.plan.from.clone(),
            to: self.plan.to.clone(),
            state: self.state,
            share: self.share,
            deadline: self.plan.deadline,
            watched_until: self.watched_until.map(|end| self.plan.wall(end)),
            reason: self
                .fault
                .clone()
                .unwrap_or_else(|| self.reason().to_string()),
            routes: self.comparisons.iter().map(route).collect(),
            checkpoint: Box::new(self.checkpoint()),
        }
    }

    /// Returns what a new lead owner goes on with: nothing once the move cannot change.
    fn checkpoint(&self) -> Checkpoint {
        if self.is_final() {
            return Checkpoint::default();
        }
        let route = |(name, comparison): (&id::Route, &Comparison)| {
            let verdict = comparison.verdict().clone();
            (name.clone(), verdict, comparison.level())
        };
        Checkpoint {
            elapsed: whole_millis(self.now - self.start),
            stayed: whole_millis(self.now - self.since),
            control: self.control,
            pooled: self.pooled.clone(),
            routes: self.comparisons.iter().map(route).collect(),
        }
    }

    /// Returns why a move that was not taken back is where it is.
    fn reason(&self) -> Reason {
        match self.state {
            State::Planned => Reason::Waiting,
            _ if self.control => Reason::Confirming,
            State::Done if self.watched_until.is_some() => Reason::Watching,
            State::Done => Reason::Done,
            State::Canary | State::Ramping | State::RolledBack if self.is_in_doubt() => {
                Reason::Holding
            }
            State::Canary | State::Ramping | State::RolledBack => Reason::Comparing,
        }
    }
}

/// Returns `evidence` as operators read it: to one decimal, and no more than is needed for certainty.
fn readable(evidence: f64) -> f64 {
    (evidence.min(MOST_EVIDENCE) * 10.0).round() / 10.0
}

/// Returns `duration` in whole milliseconds, as it is recorded.
fn whole_millis(duration: Duration) -> Duration {
    Duration::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
