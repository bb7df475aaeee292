//! Moves the requests of a service from one version to another, or back.
//!
//! The leader is the reader of the first data centre (by name) that has one. It sums the results of
//! both versions over all instances and sets the new version's share of the requests. Invariants:
//!
//! - An instance that has not received a plan recently sends nothing to the new version.
//! - An instance that has found the new version bad sends nothing further to it.
//! - A rollout is reported as completed only after no instance has used the old version for longer
//!   than the longest request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use balance::drift::Drift;
use balance::order::{Order, Progress};
use balance::rollout::Stage;
use balance::verdict::{Outcomes, Tally, Verdict};
use clock::{Clock, Instant};
use smol::Task;

use crate::gossip::{self, RolloutPlan, RolloutReport};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::{Error, Store};

/// The interval between decisions.
const INTERVAL: Duration = Duration::from_millis(100);

/// How long a plan is valid without being repeated.
const PLAN_TTL: Duration = Duration::from_secs(2);

/// The initial share of the new version. It must stay below the total share that a bad version may
/// receive.
const INITIAL_SHARE: f64 = 0.07;

/// The fractions of the rollout's duration at which the share grows, with the shares.
const SHARE_STEPS: [(f64, f64); 4] = [(0.45, 0.14), (0.53, 0.28), (0.60, 0.55), (0.67, 1.0)];

/// How long all requests go to the new version before the old one may stop. By then the requests
/// sent to the old version have completed.
const SETTLE_TIME: Duration = Duration::from_millis(2200);

/// The delay before a report to the store is retried.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Rollout {
    order: Order,
    /// Results counted by this instance, by route.
    tallies: HashMap<String, Tally>,
    /// Requests in flight from this instance.
    running: HashMap<u64, Running>,
    /// As the leader: the evidence that the version is slow, by route, and on all of them.
    drifts: HashMap<Option<String>, Drift>,
    plan: Option<(RolloutPlan, Instant)>,
    is_bad: bool,
    /// Since when all requests go to the new version.
    sole_since: Option<Instant>,
    reported_at: Option<Instant>,
}

impl Rollout {
    fn new(order: Order) -> Self {
        Self {
            order,
            tallies: HashMap::new(),
            running: HashMap::new(),
            drifts: HashMap::new(),
            plan: None,
            is_bad: false,
            sole_since: None,
            reported_at: None,
        }
    }

    fn id(&self) -> (u64, String) {
        (self.order.created, self.order.version.clone())
    }

    fn stage(&self, now: Instant) -> Stage {
        let version = self.order.version.clone();
        match self.order.progress {
            Progress::Completed => return Stage::Only(version),
            Progress::RolledBack => return Stage::Without(version),
            Progress::New | Progress::Running => {}
        }
        match &self.plan {
            Some((plan, at)) if !self.is_bad && now.since(*at) < PLAN_TTL => plan.stage.clone(),
            _ => Stage::Without(version),
        }
    }

    fn elapsed(&self, now: Instant) -> Duration {
        self.plan.as_ref().map_or(Duration::ZERO, |(plan, at)| {
            plan.elapsed.saturating_add(now.since(*at))
        })
    }
}

/// A request in flight at a server of a service that has a rollout.
#[derive(Debug)]
struct Running {
    version: String,
    route: String,
    /// When the request misses the route's latency objective.
    late_at: Instant,
}

/// A request to a server, as far as it matters to a rollout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample<'a> {
    pub(crate) service: &'a str,
    pub(crate) version: &'a str,
    pub(crate) route: &'a str,
    pub(crate) objective: Duration,
}

/// The rollouts of all services.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    services: HashMap<String, Rollout>,
    /// The id of the request that started last.
    last_request: u64,
}

/// Progress of a rollout that the leader has to report to the store.
#[derive(Clone, Debug, PartialEq)]
struct ProgressUpdate {
    order: Order,
    progress: Progress,
}

impl Rollouts {
    /// Replaces the orders with those in the store.
    pub(crate) fn set_orders(&mut self, orders: HashMap<String, Order>, now: Instant) {
        self.services
            .retain(|service, _| orders.contains_key(service));
        for (service, order) in orders {
            match self.services.get_mut(&service) {
                Some(known) if known.id() == (order.created, order.version.clone()) => {
                    if order.progress == Progress::Completed && known.sole_since.is_none() {
                        known.sole_since = Some(now);
                    }
                    known.order = order;
                }
                _ => {
                    self.services.insert(service, Rollout::new(order));
                }
            }
        }
    }

    /// Returns the versions that requests may be sent to, by service.
    pub(crate) fn stages(&self, now: Instant) -> HashMap<String, Stage> {
        self.services
            .iter()
            .map(|(service, rollout)| (service.clone(), rollout.stage(now)))
            .collect()
    }

    /// Returns the versions that requests of a service may be sent to, if it has a rollout.
    pub(crate) fn stage(&self, service: &str, now: Instant) -> Option<Stage> {
        self.services.get(service).map(|rollout| rollout.stage(now))
    }

    /// Returns whether requests for `service` are being moved to another version.
    pub(crate) fn is_active(&self, service: &str) -> bool {
        let rollout = self.services.get(service);
        rollout.is_some_and(|rollout| !rollout.order.progress.is_final())
    }

    /// Returns the versions that completed rollouts have brought services to.
    pub(crate) fn bases(&self) -> Vec<(String, String)> {
        let completed = self
            .services
            .iter()
            .filter(|(_, rollout)| rollout.order.progress == Progress::Completed);
        completed
            .map(|(service, rollout)| (service.clone(), rollout.order.version.clone()))
            .collect()
    }

    /// Records that a request starts. Returns its id if it matters to a rollout.
    pub(crate) fn start(&mut self, sample: Sample<'_>, now: Instant) -> Option<u64> {
        let rollout = self.services.get_mut(sample.service)?;
        if rollout.order.progress.is_final() {
            return None;
        }
        self.last_request += 1;
        let running = Running {
            version: sample.version.to_owned(),
            route: sample.route.to_owned(),
            late_at: now + sample.objective,
        };
        rollout.running.insert(self.last_request, running);
        Some(self.last_request)
    }

    /// Records that the request `id` is no longer in flight. If it was abandoned after it had
    /// missed the objective, that counts like a late response.
    pub(crate) fn finish(&mut self, service: &str, id: u64, counted: bool, now: Instant) {
        let Some(rollout) = self.services.get_mut(service) else {
            return;
        };
        let Some(running) = rollout.running.remove(&id) else {
            return;
        };
        if !counted && now > running.late_at {
            let outcomes = rollout.outcomes(&running.route, &running.version);
            outcomes.requests += 1;
            outcomes.late += 1;
        }
    }

    /// Counts the result of a request.
    pub(crate) fn count(&mut self, sample: Sample<'_>, failed: bool, duration: Duration) {
        let Some(rollout) = self.services.get_mut(sample.service) else {
            return;
        };
        if rollout.order.progress.is_final() {
            return;
        }
        rollout
            .outcomes(sample.route, sample.version)
            .record(failed, duration, sample.objective);
    }

    /// Returns the results that this instance has counted.
    pub(crate) fn reports(&self, now: Instant) -> Vec<RolloutReport> {
        let active = self
            .services
            .iter()
            .filter(|(_, rollout)| !rollout.order.progress.is_final());
        let reports = active.map(|(service, rollout)| RolloutReport {
            service: service.clone(),
            order: rollout.id(),
            tallies: rollout.current_tallies(now).into_iter().collect(),
        });
        reports.collect()
    }

    /// Returns the results of this instance and of `others`, summed.
    pub(crate) fn sum(&self, others: Vec<RolloutReport>, now: Instant) -> Vec<RolloutReport> {
        let mut sums = self.reports(now);
        for sum in &mut sums {
            let mut tallies: HashMap<String, Tally> = sum.tallies.drain(..).collect();
            let same = others
                .iter()
                .filter(|o| o.service == sum.service && o.order == sum.order);
            for (route, tally) in same.flat_map(|o| &o.tallies) {
                tallies.entry(route.clone()).or_default().merge(tally);
            }
            sum.tallies = tallies.into_iter().collect();
        }
        sums
    }

    /// Returns the valid plans, brought up to `now`.
    pub(crate) fn plans(&self, now: Instant) -> Vec<RolloutPlan> {
        let current = self.services.values().filter_map(|rollout| {
            let (plan, at) = rollout.plan.as_ref()?;
            (now.since(*at) < PLAN_TTL).then(|| RolloutPlan {
                elapsed: plan.elapsed.saturating_add(now.since(*at)),
                stage: rollout.stage(now),
                ..plan.clone()
            })
        });
        current.collect()
    }

    /// Applies a plan that was just received from the leader.
    fn apply_plan(&mut self, plan: &RolloutPlan, now: Instant) {
        let Some(rollout) = self.services.get_mut(&plan.service) else {
            return;
        };
        if rollout.id() == plan.order {
            rollout.plan = Some((plan.clone(), now));
        }
    }

    /// Decides on all rollouts as the leader. `reports` has the results of all instances.
    fn decide(&mut self, reports: &[RolloutReport], now: Instant) -> Vec<ProgressUpdate> {
        let mut updates = Vec::new();
        for (service, rollout) in &mut self.services {
            if rollout.order.progress.is_final() {
                continue;
            }
            let report = reports
                .iter()
                .find(|r| r.service == *service && r.order == rollout.id());
            let verdict = report.map_or(Verdict::Undecided, |r| rollout.verdict(&r.tallies));
            rollout.is_bad |= verdict == Verdict::Bad;
            let elapsed = rollout.elapsed(now);
            let current = rollout.planned_share();
            let share = share(elapsed, rollout.order.duration, verdict, current);
            let version = rollout.order.version.clone();
            let stage = if rollout.is_bad {
                Stage::Without(version)
            } else if share >= 1.0 {
                rollout.sole_since.get_or_insert(now);
                Stage::Only(version)
            } else {
                Stage::Share { version, share }
            };
            let plan = RolloutPlan {
                service: service.clone(),
                order: rollout.id(),
                elapsed,
                stage,
            };
            rollout.plan = Some((plan, now));
            if let Some(progress) = rollout.due_progress(now) {
                updates.push(ProgressUpdate {
                    order: rollout.order.clone(),
                    progress,
                });
            }
        }
        updates
    }
}

impl Rollout {
    /// Returns the new version's share in the newest plan, which another leader may have made.
    fn planned_share(&self) -> f64 {
        match self.plan.as_ref().map(|(plan, _)| &plan.stage) {
            Some(Stage::Only(_)) => 1.0,
            Some(Stage::Share { share, .. }) => *share,
            Some(Stage::Without(_)) | None => INITIAL_SHARE,
        }
    }

    /// Returns the outcomes of `version` on `route`.
    fn outcomes(&mut self, route: &str, version: &str) -> &mut Outcomes {
        let tally = self.tallies.entry(route.to_owned()).or_default();
        if version == self.order.version {
            &mut tally.new
        } else {
            &mut tally.old
        }
    }

    /// Returns the results including the requests in flight that have missed the objective.
    fn current_tallies(&self, now: Instant) -> HashMap<String, Tally> {
        let mut tallies = self.tallies.clone();
        let overdue = self.running.values().filter(|r| now > r.late_at);
        for running in overdue {
            let tally = tallies.entry(running.route.clone()).or_default();
            if running.version == self.order.version {
                tally.new.overdue += 1;
            } else {
                tally.old.overdue += 1;
            }
        }
        tallies
    }

    /// Returns the verdict over all routes, or `Bad` if a single route is bad.
    fn verdict(&mut self, tallies: &[(String, Tally)]) -> Verdict {
        let mut all = Tally::default();
        let mut is_bad = false;
        for (route, tally) in tallies {
            all.merge(tally);
            is_bad |= tally.verdict() == Verdict::Bad
                || self.speed_verdict(Some(route), tally) == Verdict::Bad;
        }
        match (all.verdict(), self.speed_verdict(None, &all)) {
            _ if is_bad => Verdict::Bad,
            (Verdict::Bad, _) | (_, Verdict::Bad) => Verdict::Bad,
            (Verdict::Good, Verdict::Good) => Verdict::Good,
            _ => Verdict::Undecided,
        }
    }

    /// Returns the verdict on the version's speed on one route, or on all.
    fn speed_verdict(&mut self, route: Option<&str>, tally: &Tally) -> Verdict {
        let drift = self.drifts.entry(route.map(str::to_owned)).or_default();
        drift.update(tally);
        drift.verdict()
    }

    /// Returns the progress that is due to be reported to the store.
    fn due_progress(&mut self, now: Instant) -> Option<Progress> {
        let settled = self
            .sole_since
            .is_some_and(|since| now.since(since) >= SETTLE_TIME);
        let progress = if self.is_bad {
            Progress::RolledBack
        } else if settled {
            Progress::Completed
        } else if self.order.progress == Progress::New {
            Progress::Running
        } else {
            return None;
        };
        if self
            .reported_at
            .is_some_and(|at| now.since(at) < REPORT_RETRY_DELAY)
        {
            return None;
        }
        self.reported_at = Some(now);
        Some(progress)
    }
}

/// Returns the new version's share at `elapsed`, given the `current` one.
fn share(elapsed: Duration, duration: Duration, verdict: Verdict, current: f64) -> f64 {
    let part = elapsed.as_secs_f64() / duration.as_secs_f64().max(0.001);
    let reached = SHARE_STEPS.iter().rev().find(|(from, _)| part >= *from);
    match (reached, verdict) {
        (None, _) => INITIAL_SHARE,
        (Some((_, share)), Verdict::Good) => *share,
        // With too few results for a verdict, use the first step to collect more. A share that was
        // reached is kept, as no request may return to the old version before its end.
        (Some(_), _) => current.max(SHARE_STEPS[0].1),
    }
}

/// A call that reports the progress of a rollout. The decisions do not wait for it, as plans expire.
struct Report {
    progress: Progress,
    task: Task<()>,
}

/// Decides on rollouts while this instance is the leader, and follows its plans otherwise.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut reports: HashMap<String, Report> = HashMap::new();
    loop {
        node.clock.sleep(INTERVAL).await;
        let now = node.now();
        let is_reader = node.is_reader();
        let (is_leader, local, remote, plans) = {
            let members = node.members.lock();
            let is_leader = is_reader && members.is_rollout_leader(now);
            let remote = members.remote_rollout_reports(now);
            (
                is_leader,
                members.rollout_reports(now),
                remote,
                members.rollout_plans(is_reader, now),
            )
        };
        let updates = {
            let mut rollouts = node.rollouts.lock();
            if is_leader {
                let reports = local.into_iter().chain(remote).collect();
                let reports = rollouts.sum(reports, now);
                let before = rollouts.stages(now);
                let updates = rollouts.decide(&reports, now);
                let after = rollouts.stages(now);
                if before != after {
                    slog::info!(node.log, "moves: stage changed"; "stages" => ?after,
                        "reports" => ?reports);
                }
                updates
            } else {
                for plan in &plans {
                    rollouts.apply_plan(plan, now);
                }
                Vec::new()
            }
        };
        reports.retain(|_, report| !report.task.is_finished());
        for update in updates {
            let service = update.order.service.clone();
            let current = reports.get(&service);
            if current.is_none_or(|report| report.progress != update.progress) {
                let progress = update.progress;
                let node = node.clone();
                let task = smol::spawn(async move { report(&node, &update).await });
                reports.insert(service, Report { progress, task });
            }
        }
    }
}

async fn report<S, H, C>(node: &Node<S, H, C>, update: &ProgressUpdate)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let call = node.store.report_progress(&update.order, update.progress);
    let result = node.metrics.store_call("report progress", call).await;
    slog::info!(node.log, "moves: progress reported"; "service" => &update.order.service,
        "version" => &update.order.version, "progress" => ?update.progress,
        "error" => ?result.as_ref().err());
    if let Err(Error::Refused(_) | Error::TimedOut { .. } | Error::Exchange(_)) = result {
        node.record_store_failure();
    }
    gossip::send_heartbeat(node);
}
