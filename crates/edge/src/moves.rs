//! Brings a service from one version to another, or back.
//!
//! The reader of the first data centre that has one leads. It sums what all instances have seen of
//! both versions, and decides on the share of the new one. Invariants:
//!
//! - An instance that has not heard a plan lately sends nothing to the new version.
//! - A new version that an instance has seen to be bad gets nothing from it any more.
//! - A move is reported as completed only after no instance has used the old version for longer
//!   than a request may last.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use balance::order::{Order, Progress};
use balance::rollout::Stage;
use balance::verdict::{Tally, Verdict};
use clock::{Clock, Instant};

use crate::gossip::{self, MoveReport, Plan};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::{Error, Store};

/// The pause between two decisions.
const INTERVAL: Duration = Duration::from_millis(100);

/// How long a plan holds without being repeated.
const PLAN_LASTS: Duration = Duration::from_secs(2);

/// The share of the requests that the new version gets first. It has to stay below what a bad
/// version may get in all.
const FIRST_SHARE: f64 = 0.07;

/// The part of the time after which the share grows, with the shares.
const STEPS: [(f64, f64); 4] = [(0.45, 0.14), (0.53, 0.28), (0.60, 0.55), (0.67, 1.0)];

/// How long all requests use the new version before the old one may end. Requests that were sent to
/// the old one have been answered by then.
const SETTLE: Duration = Duration::from_millis(2200);

/// The pause before a report to the store is tried again.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Move {
    order: Order,
    /// The answers that this instance has seen, by route.
    tallies: HashMap<String, Tally>,
    plan: Option<(Plan, Instant)>,
    bad: bool,
    /// Since when all requests use the new version.
    only_since: Option<Instant>,
    reported_at: Option<Instant>,
}

impl Move {
    fn new(order: Order) -> Self {
        Self {
            order,
            tallies: HashMap::new(),
            plan: None,
            bad: false,
            only_since: None,
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
            Some((plan, at)) if !self.bad && now.since(*at) < PLAN_LASTS => plan.stage.clone(),
            _ => Stage::Without(version),
        }
    }

    fn elapsed(&self, now: Instant) -> Duration {
        self.plan
            .as_ref()
            .map_or(Duration::ZERO, |(plan, at)| plan.elapsed + now.since(*at))
    }
}

/// The moves of all services.
#[derive(Debug, Default)]
pub(crate) struct Moves(HashMap<String, Move>);

/// What the leader has to do about a move.
#[derive(Clone, Debug, PartialEq)]
struct Step {
    order: Order,
    progress: Progress,
}

impl Moves {
    /// Takes the orders that the store holds.
    pub(crate) fn take_orders(&mut self, orders: HashMap<String, Order>, now: Instant) {
        self.0.retain(|service, _| orders.contains_key(service));
        for (service, order) in orders {
            match self.0.get_mut(&service) {
                Some(known) if known.id() == (order.created, order.version.clone()) => {
                    if order.progress == Progress::Completed && known.only_since.is_none() {
                        known.only_since = Some(now);
                    }
                    known.order = order;
                }
                _ => {
                    self.0.insert(service, Move::new(order));
                }
            }
        }
    }

    /// Returns the versions that requests may use, by service.
    pub(crate) fn stages(&self, now: Instant) -> HashMap<String, Stage> {
        self.0
            .iter()
            .map(|(service, m)| (service.clone(), m.stage(now)))
            .collect()
    }

    /// Returns the versions that requests of a service may use, if it moves.
    pub(crate) fn stage(&self, service: &str, now: Instant) -> Option<Stage> {
        self.0.get(service).map(|m| m.stage(now))
    }

    /// Returns the versions that services have come to.
    pub(crate) fn bases(&self) -> Vec<(String, String)> {
        let done = self
            .0
            .iter()
            .filter(|(_, m)| m.order.progress == Progress::Completed);
        done.map(|(service, m)| (service.clone(), m.order.version.clone()))
            .collect()
    }

    /// Counts a request of `route` that ended at a server of `version`.
    pub(crate) fn count(
        &mut self,
        service: &str,
        version: &str,
        route: &str,
        failed: bool,
        took: Duration,
    ) {
        let Some(found) = self.0.get_mut(service) else {
            return;
        };
        if found.order.progress.is_final() {
            return;
        }
        let tally = found.tallies.entry(route.to_owned()).or_default();
        let arm = if version == found.order.version {
            &mut tally.new
        } else {
            &mut tally.old
        };
        arm.record(failed, took);
    }

    /// Returns what this instance has seen.
    pub(crate) fn reports(&self) -> Vec<MoveReport> {
        let open = self.0.iter().filter(|(_, m)| !m.order.progress.is_final());
        let reports = open.map(|(service, m)| MoveReport {
            service: service.clone(),
            order: m.id(),
            tallies: m.tallies.iter().map(|(r, t)| (r.clone(), *t)).collect(),
        });
        reports.collect()
    }

    /// Returns what this instance and those of `others` have seen together.
    pub(crate) fn sum(&self, others: Vec<MoveReport>) -> Vec<MoveReport> {
        let mut sums = self.reports();
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

    /// Returns the plans that hold, with the time that has passed.
    pub(crate) fn plans(&self, now: Instant) -> Vec<Plan> {
        let held = self.0.values().filter_map(|m| {
            let (plan, at) = m.plan.as_ref()?;
            (now.since(*at) < PLAN_LASTS).then(|| Plan {
                elapsed: plan.elapsed + now.since(*at),
                stage: m.stage(now),
                ..plan.clone()
            })
        });
        held.collect()
    }

    /// Takes a plan of the leader, heard just now.
    fn hear(&mut self, plan: &Plan, now: Instant) {
        let Some(found) = self.0.get_mut(&plan.service) else {
            return;
        };
        if found.id() == plan.order {
            found.plan = Some((plan.clone(), now));
        }
    }

    /// Decides as the leader on all moves. `seen` is what all instances have seen.
    fn lead(&mut self, seen: &[MoveReport], now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        for (service, m) in &mut self.0 {
            if m.order.progress.is_final() {
                continue;
            }
            let report = seen
                .iter()
                .find(|r| r.service == *service && r.order == m.id());
            let verdict = report.map_or(Verdict::Undecided, |r| judge(&r.tallies));
            m.bad |= verdict == Verdict::Bad;
            let elapsed = m.elapsed(now);
            let share = share(elapsed, m.order.duration, verdict);
            let version = m.order.version.clone();
            let stage = if m.bad {
                Stage::Without(version)
            } else if share >= 1.0 {
                m.only_since.get_or_insert(now);
                Stage::Only(version)
            } else {
                Stage::Share { version, share }
            };
            let plan = Plan {
                service: service.clone(),
                order: m.id(),
                elapsed,
                stage,
            };
            m.plan = Some((plan, now));
            if let Some(progress) = m.due(now) {
                steps.push(Step {
                    order: m.order.clone(),
                    progress,
                });
            }
        }
        steps
    }
}

impl Move {
    /// Returns what to report to the store now.
    fn due(&mut self, now: Instant) -> Option<Progress> {
        let settled = self
            .only_since
            .is_some_and(|since| now.since(since) >= SETTLE);
        let progress = if self.bad {
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
            .is_some_and(|at| now.since(at) < REPORT_PAUSE)
        {
            return None;
        }
        self.reported_at = Some(now);
        Some(progress)
    }
}

/// Returns what the answers on all routes say together, or those on one route if they are bad.
fn judge(tallies: &[(String, Tally)]) -> Verdict {
    let mut all = Tally::default();
    for (_, tally) in tallies {
        if tally.verdict() == Verdict::Bad {
            return Verdict::Bad;
        }
        all.merge(tally);
    }
    all.verdict()
}

/// Returns the share of the new version `elapsed` after the order.
fn share(elapsed: Duration, duration: Duration, verdict: Verdict) -> f64 {
    let part = elapsed.as_secs_f64() / duration.as_secs_f64().max(0.001);
    let reached = STEPS.iter().rev().find(|(from, _)| part >= *from);
    match (reached, verdict) {
        (None, _) => FIRST_SHARE,
        (Some((_, share)), Verdict::Good) => *share,
        // With few answers so far, more are asked for.
        (Some(_), _) => STEPS[0].1,
    }
}

/// Leads moves while this instance is the one to do so, and follows otherwise.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        node.clock.sleep(INTERVAL).await;
        let now = node.now();
        let reads = node.is_reader();
        let (leads, zone, elsewhere, plans) = {
            let members = node.members.lock();
            let leads = reads && members.leads(now);
            let elsewhere = members.moves_elsewhere(now);
            (
                leads,
                members.moves(now),
                elsewhere,
                members.plans(reads, now),
            )
        };
        let steps = {
            let mut moves = node.moves.lock();
            if leads {
                let seen = zone.into_iter().chain(elsewhere).collect();
                let seen = moves.sum(seen);
                let before = moves.stages(now);
                let steps = moves.lead(&seen, now);
                let after = moves.stages(now);
                if before != after {
                    slog::info!(node.log, "moves: the stage changed"; "stages" => ?after,
                        "seen" => ?seen);
                }
                steps
            } else {
                for plan in &plans {
                    moves.hear(plan, now);
                }
                Vec::new()
            }
        };
        for step in steps {
            report(&node, &step).await;
        }
    }
}

async fn report<S, H, C>(node: &Node<S, H, C>, step: &Step)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let result = node.store.report_progress(&step.order, step.progress).await;
    slog::info!(node.log, "moves: reported"; "service" => &step.order.service,
        "version" => &step.order.version, "progress" => ?step.progress,
        "result" => ?result.as_ref().err());
    if let Err(Error::Refused(_) | Error::TimedOut(_) | Error::Exchange(_)) = result {
        node.cut_off();
    }
    gossip::send_beat(node);
}
