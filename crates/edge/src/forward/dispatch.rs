//! Dispatches a caller's request: waits for capacity, selects a server, retries where that is safe,
//! and responds.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use balance::config::Active;
use balance::query::{Candidate, Choice, Query, Unavailable};
use balance::record::Kind;
use balance::rollout::Filter;
use balance::route::Route;
use balance::server::Key;
use balance::turn::{Backlog, Turn};
use clock::{Clock, Instant};
use policy::quarantine::Fingerprint;

use super::access::Access;
use super::attempt::OutgoingRequest;
use super::outcome::{AttemptOutcome, AttemptResult};
use super::queue::Position;
use super::refusal::{Refusal, UNAUTHORIZED};
use crate::callers::{Disconnect, Place, Request, Response};
use crate::headers::Codec;
use crate::node::Node;
use crate::prober;
use crate::sharing::Rank;
use crate::store::Store;
use crate::suspects::Trial;
use crate::usage;

/// The longest time that a request waits for a server with capacity, as a fraction of the route's
/// latency objective. A request that waits longer would hardly complete in time.
const MAX_WAIT_FRACTION: f64 = 0.3;

/// The interval between two checks for capacity while waiting. Some capacity is released by time
/// alone, without a wake-up.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The interval at which a request checks whether the instance's data is current, after a start or
/// a suspension of the process.
const REFRESH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a request waits while an instance that has just started loads its records: as a
/// fraction of the caller's timeout, and at most. The instance asks the others and the store at
/// once.
const STARTUP_WAIT_FRACTION: f64 = 0.4;
const STARTUP_MAX_WAIT: Duration = Duration::from_millis(600);

/// How many more attempts than the route's maximum may end without the request having run.
const EXTRA_NOT_RUN_ATTEMPTS: u32 = 1;

/// `Retry-After` of a refusal that happens before a route is known, or for the sake of a configuration.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The most servers that are probed for their load before one request is sent.
const MAX_PROBES: usize = 5;

/// The most servers of other groups or data centres that are probed at once for a request.
const MAX_VISIT_PROBES: usize = 3;

/// How long a request waits for the responses to these probes.
const PROBE_WAIT: Duration = Duration::from_millis(25);

/// The least remaining time for which a request is still sent to a server.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// A request with the route and the deadline that apply to it.
pub(super) struct Dispatch<'a> {
    config: &'a Active,
    pub(super) route: &'a Route,
    pub(super) service: &'a str,
    id: Option<&'a str>,
    access: Access<'a>,
    rank: Rank,
    usage: Option<usage::Request>,
    versions: Filter,
    pub(super) arrived_at: Instant,
    pub(super) deadline: Instant,
    request: &'a Request,
    fingerprint: OnceLock<Fingerprint>,
    disconnect: &'a Disconnect,
}

/// The response to a caller, with the reason to log.
struct Completion {
    response: Response,
    reason: &'static str,
    /// Whether a server got the request, or none had capacity. `None` if neither.
    passed_on: Option<bool>,
}

/// Handles a caller's request. `disconnect` is set when the caller disconnects. If the configuration has
/// tenants, what identifies the caller is taken from the headers.
pub(crate) async fn handle<S, H, C>(
    node: &Arc<Node<S, H, C>>,
    request: &mut Request,
    arrived_at: Instant,
    disconnect: &Disconnect,
) -> Response
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let incoming = node.codec.parse_request(&request.headers);
    let id = incoming.request_id.as_deref();
    let max_wait = incoming
        .time_left
        .unwrap_or(STARTUP_MAX_WAIT)
        .mul_f64(STARTUP_WAIT_FRACTION);
    let max_wait = max_wait.min(STARTUP_MAX_WAIT);
    while node.is_stale()
        || (node.has_tenants() && node.is_unattended())
        || (!node.has_all_records() && node.now().since(arrived_at) < max_wait)
    {
        node.clock.sleep(REFRESH_POLL_INTERVAL).await;
    }
    let config = node.config.load_full();
    if config.as_ref().is_some_and(|c| c.tenants.is_some()) {
        request.take_credential(&node.codec);
    }
    let request = &*request;
    let refuse = |refusal: Refusal, route: Option<&Route>| {
        node.metrics.refusal(refusal.reason());
        if let Some(suppressed) = node.limits.refused.pass(node.now()) {
            let config_age = node.freshness.age(Kind::Config, node.now());
            slog::info!(node.log, "forward: request refused"; "request" => id,
                "reason" => refusal.reason(), "status" => refusal.status(),
                "host" => &request.host, "path" => request.path(),
                "route" => route.map(|r| r.name.as_str()),
                "config" => config.as_ref().map(|c| c.version),
                "config age millis" => config_age.map(|age| age.as_millis()),
                "suppressed" => suppressed);
        }
        refusal.response(&node.codec, id, Some(DEFAULT_RETRY_AFTER))
    };
    let Some(config) = &config else {
        return refuse(Refusal::NoConfig, None);
    };
    let Some(route) = config.route(&request.host, request.path()) else {
        return refuse(node.refusal_of_unknown(Refusal::NoRoute), None);
    };
    // The route may have been idempotent when the request was begun.
    if !route.idempotent && disconnect.place() == Place::Ahead {
        return refuse(Refusal::OutOfTurn, Some(route));
    }
    let access = match Access::admit(node, request, config, route) {
        Ok(access) => access,
        Err(refusal) => return refuse(refusal, Some(route)),
    };
    let Some(service) = route.service(fastrand::f64()) else {
        return refuse(Refusal::NoServer, Some(route));
    };
    let time_left = incoming
        .time_left
        .map_or(route.timeout, |t| t.min(route.timeout));
    let stage = node.rollouts.lock().stage(service, arrived_at);
    let dispatch = Dispatch {
        config,
        route,
        service,
        id,
        rank: node.admit(service, route, access.tenancy(), access.priority()),
        access,
        usage: node.new_usage(),
        versions: stage.map_or(Filter::Base, |s| s.filter(fastrand::f64())),
        arrived_at,
        deadline: arrived_at + time_left,
        request,
        fingerprint: OnceLock::new(),
        disconnect,
    };
    node.queues.record_request(service, arrived_at);
    let work = node.service_times.expected(&route.name, route.objective);
    node.demand.lock().record(service, work, arrived_at);
    node.budget.lock().record_request(service, arrived_at);
    let completion = dispatch.run(node).await;
    // A caller that leaves while it waits was not refused.
    let passed_on = completion
        .passed_on
        .filter(|passed_on| *passed_on || !disconnect.is_disconnected());
    node.record_outcome(service, dispatch.rank, passed_on);
    let duration = node.now().since(arrived_at);
    let status = completion.response.status;
    node.metrics.response(&route.name, status, duration);
    dispatch.log_completion(node, status, completion.reason, duration);
    completion.response
}

impl Dispatch<'_> {
    async fn run<S, H, C>(&self, node: &Arc<Node<S, H, C>>) -> Completion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let mut tried: Vec<Key> = Vec::new();
        let mut may_have_run = 0;
        let mut reached = 0;
        let mut last = None;
        let mut waited = Duration::ZERO;
        loop {
            if self.block_left(node).is_some() {
                return self.finish_without_server(node, last, Refusal::CrashesServers);
            }
            let choice = match self.select_server(node, &tried, &mut waited).await {
                Ok(choice) => choice,
                Err(refusal) => return self.finish_without_server(node, last, refusal),
            };
            // An attempt that reached no server adds no load to any, so it does not count against
            // the retry budget.
            if reached > 0 && !node.budget.lock().try_retry(self.service, node.now()) {
                return self.finish_without_server(node, last, Refusal::NoCapacity);
            }
            let outgoing = OutgoingRequest {
                request: self.request,
                id: self.id,
                access: &self.access,
                usage: self.usage.as_ref(),
                route: &self.route.name,
                objective: self.route.objective,
                idempotent: self.route.idempotent,
                deadline: self.deadline,
                answered: AtomicBool::new(false),
            };
            let mut trial = None;
            if self.is_suspected(node) {
                node.probe_for_suspect(choice.key).await;
                // Other copies may have been tried, and servers may have crashed, meanwhile.
                if self.block_left(node).is_some() {
                    return self.finish_without_server(node, last, Refusal::CrashesServers);
                }
                trial = Trial::begin(&node.suspects, self.fingerprint(&node.codec), node.now());
            }
            tried.push(choice.key);
            self.disconnect.set_must_finish(!self.route.idempotent);
            let ended = self
                .attempt_hedged(node, choice, &outgoing, &mut tried)
                .await;
            drop(trial);
            self.disconnect.set_must_finish(false);
            let mut retry = true;
            for (choice, result) in ended {
                self.log_attempt(node, &choice, &result, tried.len());
                may_have_run += u32::from(!result.outcome.has_not_run());
                reached += u32::from(!matches!(result.outcome, AttemptOutcome::Unreachable(_)));
                let not_run = u32::try_from(tried.len()).unwrap_or(u32::MAX) - may_have_run;
                retry = self.may_retry(&result.outcome)
                    && may_have_run < self.route.max_attempts
                    && not_run <= self.route.max_attempts + EXTRA_NOT_RUN_ATTEMPTS;
                let best = prefer_response(last, result.outcome);
                last = Some((best, may_have_run));
            }
            if let Some((best, may_have_run)) = last.take_if(|_| !retry) {
                return self.complete(node, best, may_have_run);
            }
        }
    }

    /// Returns for how long the request is refused because servers crashed under it.
    fn block_left<S, H, C>(&self, node: &Node<S, H, C>) -> Option<Duration>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let suspects = node.suspects.lock();
        if suspects.is_empty() {
            return None;
        }
        suspects.block_left(self.fingerprint(&node.codec), node.now())
    }

    /// Returns whether a server crashed under the request.
    pub(super) fn is_suspected<S, H, C>(&self, node: &Node<S, H, C>) -> bool
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let suspects = node.suspects.lock();
        !suspects.is_empty() && suspects.is_suspected(self.fingerprint(&node.codec), node.now())
    }

    /// Returns the digest of the request's content, which stays the same when the caller sends it
    /// again.
    fn fingerprint<H>(&self, codec: &H) -> Fingerprint
    where
        H: Codec,
    {
        *self
            .fingerprint
            .get_or_init(|| self.request.fingerprint(codec))
    }

    /// Returns whether the request may be sent to another server after `outcome`.
    fn may_retry(&self, outcome: &AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unreachable(_) => true,
            AttemptOutcome::Answered(..) | AttemptOutcome::Indeterminate(_) => {
                self.route.idempotent && outcome.is_failure()
            }
            AttemptOutcome::Denied(_) | AttemptOutcome::TimedOut => false,
        }
    }

    /// Selects a server, waiting for one to have capacity if need be.
    async fn select_server<S, H, C>(
        &self,
        node: &Arc<Node<S, H, C>>,
        tried: &[Key],
        waited: &mut Duration,
    ) -> Result<Choice, Refusal>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let position = node.queues.next_position(self.rank.value);
        let started_at = node.now();
        let max_wait = self
            .route
            .objective
            .mul_f64(MAX_WAIT_FRACTION)
            .saturating_sub(*waited);
        let mut probed = 0;
        loop {
            let now = node.now();
            if self.is_too_late(node, now) || self.disconnect.is_disconnected() {
                return Err(Refusal::Expired);
            }
            if !node.may_start(self.deadline) {
                return Err(Refusal::Stopping);
            }
            self.access.check(node, &node.config.load_full())?;
            let behind = node.queues.has_earlier(self.service, position);
            let candidates_result = match self.candidates(node, tried, position.1) {
                Ok(_) if behind && now.since(started_at) < max_wait => Err(Unavailable::NoCapacity),
                candidates_result => candidates_result,
            };
            let best = candidates_result.as_ref().map(|all| all.first());
            let is_too_slow = match best {
                Ok(best) => {
                    best.is_some_and(|best| best.choice.expected > self.time_to_objective(now))
                }
                Err(Unavailable::NoCapacity) => true,
                Err(Unavailable::NoServers | Unavailable::Paused(_)) => false,
            };
            if is_too_slow && probed < MAX_PROBES {
                let visits = self.visits(node, tried, position.1);
                if !visits.is_empty() {
                    probed += visits.len();
                    prober::probe_all(node, &visits, PROBE_WAIT).await;
                    continue;
                }
            }
            let others_wait = {
                let turns = node.turns.lock();
                turns.is_contended(self.service, position.0, now)
            };
            let candidates_result = candidates_result.map(|candidates| {
                let backlog = Backlog {
                    priority: position.0,
                    length: node.queues.length_at(self.service, position.0) + 1,
                };
                let mut turns = node.turns.lock();
                turns.take(self.service, node.identity.boot, backlog, candidates, now)
            });
            match candidates_result {
                Ok(Turn::At(at)) if now.since(started_at) < max_wait => {
                    let limit = at.since(now).min(RECHECK_INTERVAL);
                    self.wait(node, position, limit).await;
                }
                Ok(Turn::Now(candidates)) => {
                    // Probing delays this request; while others wait, they would take the capacity
                    // meanwhile.
                    let to_probe = if probed < MAX_PROBES && !others_wait {
                        let is_connected = |key| node.is_connected(key);
                        node.probes
                            .worth_probing(self.service, &candidates, is_connected)
                    } else {
                        Vec::new()
                    };
                    if !to_probe.is_empty() {
                        probed += to_probe.len();
                        prober::probe_all(node, &to_probe, PROBE_WAIT).await;
                        continue;
                    }
                    *waited += now.since(started_at);
                    if now > started_at {
                        node.metrics.waited(self.service, now.since(started_at));
                    }
                    return candidates
                        .first()
                        .map(|c| c.choice)
                        .ok_or(Refusal::NoCapacity);
                }
                Err(Unavailable::NoServers) => return Err(Refusal::NoServer),
                Err(Unavailable::Paused(at)) => {
                    if at > started_at + max_wait {
                        return Err(Refusal::ServersPaused);
                    }
                    self.wait(node, position, at.since(now).min(RECHECK_INTERVAL))
                        .await;
                }
                Ok(Turn::At(_)) | Err(Unavailable::NoCapacity)
                    if now.since(started_at) >= max_wait =>
                {
                    // The request leaves the queue, so that other instances need not yield to it
                    // any longer.
                    node.outbox_ready.send();
                    return Err(Refusal::NoCapacity);
                }
                Ok(Turn::At(_)) | Err(Unavailable::NoCapacity) => {
                    self.wait(node, position, RECHECK_INTERVAL.min(max_wait))
                        .await;
                }
            }
        }
    }

    /// Returns whether the time left is too short to send the request to a server. One that was read
    /// behind others on its connection is sent only if its response is expected in time.
    fn is_too_late<S, H, C>(&self, node: &Node<S, H, C>, now: Instant) -> bool
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let expected = match self.disconnect.place() {
            Place::Alone => Duration::ZERO,
            Place::InTurn | Place::Ahead => node
                .service_times
                .expected(&self.route.name, self.route.objective),
        };
        self.deadline.since(now) < expected.max(MIN_TIME_LEFT)
    }

    /// Waits until a server may have capacity, for at most `limit`, and publishes the queue to the
    /// other instances.
    async fn wait<S, H, C>(&self, node: &Arc<Node<S, H, C>>, position: Position, limit: Duration)
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let waiting = node
            .queues
            .wait(&node.clock, self.service, position, limit, || {
                node.outbox_ready.send();
            });
        waiting.await;
    }

    /// Returns the servers that can take the request now, best first.
    pub(super) fn candidates<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        tried: &[Key],
        seed: u64,
    ) -> Result<Vec<Candidate>, Unavailable>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let query = self.query(node, tried, seed);
        node.table.lock().candidates(&query, node.now())
    }

    /// Returns the time left until the request misses the objective.
    fn time_to_objective(&self, now: Instant) -> Duration {
        (self.arrived_at + self.route.objective).since(now)
    }

    /// Returns servers of other groups or data centres to probe while the known servers are too
    /// busy or too slow for the request.
    fn visits<S, H, C>(&self, node: &Node<S, H, C>, tried: &[Key], seed: u64) -> Vec<Key>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let query = self.query(node, tried, seed);
        let now = node.now();
        let table = node.table.lock();
        table.visits(&query, self.time_to_objective(now), MAX_VISIT_PROBES, now)
    }

    fn query<'a, S, H, C>(&'a self, node: &Node<S, H, C>, tried: &'a [Key], seed: u64) -> Query<'a>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        Query {
            service: self.service,
            versions: &self.versions,
            tried,
            work: node
                .service_times
                .expected(&self.route.name, self.route.objective),
            time_left: self.deadline.since(node.now()),
            seed: seed ^ node.identity.boot,
        }
    }

    /// Responds when no server can be selected for another attempt.
    fn finish_without_server<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        last: Option<(AttemptOutcome, u32)>,
        refusal: Refusal,
    ) -> Completion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        match last {
            Some((outcome, may_have_run)) if may_have_run > 0 => {
                self.complete(node, outcome, may_have_run)
            }
            _ => self.refuse(node, refusal),
        }
    }

    /// Responds according to the outcome of the last attempt.
    fn complete<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        outcome: AttemptOutcome,
        may_have_run: u32,
    ) -> Completion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        match outcome {
            AttemptOutcome::Answered(answer, _) => Completion {
                response: Response {
                    status: answer.status,
                    headers: answer.headers,
                    body: answer.body,
                },
                reason: "answered by the server",
                passed_on: Some(true),
            },
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unreachable(_) if may_have_run == 0 => {
                self.refuse(node, Refusal::Shed)
            }
            AttemptOutcome::Denied(refusal) if may_have_run == 0 => self.refuse(node, refusal),
            AttemptOutcome::TimedOut => self.refuse(node, Refusal::TimedOut),
            AttemptOutcome::NotRun(_)
            | AttemptOutcome::Unreachable(_)
            | AttemptOutcome::Denied(_)
            | AttemptOutcome::Indeterminate(_) => self.refuse(node, Refusal::Indeterminate),
        }
    }

    fn refuse<S, H, C>(&self, node: &Node<S, H, C>, refusal: Refusal) -> Completion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        node.metrics.refusal(refusal.reason());
        let now = node.now();
        let retry_after = match refusal {
            Refusal::CrashesServers => self.block_left(node),
            // Other instances take the request at once.
            Refusal::Stopping => Some(Duration::ZERO),
            // What is missing is a configuration, not capacity.
            Refusal::OldConfig | Refusal::UnconfirmedKeys | Refusal::OtherTenant => {
                Some(DEFAULT_RETRY_AFTER)
            }
            Refusal::ServersPaused => match self.candidates(node, &[], 0) {
                Err(Unavailable::Paused(at)) => Some(at.since(now)),
                _ => Some(Duration::ZERO),
            },
            _ => {
                // Capacity is released when the requests in flight complete.
                let work = node
                    .service_times
                    .expected(&self.route.name, self.route.objective);
                Some(work)
            }
        };
        Completion {
            response: refusal.response(&node.codec, self.id, retry_after),
            reason: refusal.reason(),
            passed_on: refusal.passed_on(),
        }
    }

    fn log_completion<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        status: u16,
        reason: &'static str,
        duration: Duration,
    ) where
        S: Store,
        H: Codec,
        C: Clock,
    {
        const SERVER_ERROR: u16 = 500;
        const UNAVAILABLE: u16 = 503;
        let in_time = duration <= self.route.objective;
        let limiter = if status == UNAUTHORIZED {
            &node.limits.refused
        } else if status < SERVER_ERROR && in_time {
            &node.limits.served
        } else {
            &node.limits.failed
        };
        if let Some(suppressed) = limiter.pass(node.now()) {
            if status == UNAVAILABLE {
                self.log_capacity(node);
            }
            slog::info!(node.log, "forward: request completed"; "request" => self.id,
                "route" => &self.route.name, "service" => self.service, "status" => status,
                "reason" => reason, "millis" => duration.as_millis(), "in time" => in_time,
                "content" => (status >= SERVER_ERROR).then(|| self.fingerprint(&node.codec).to_string()),
                "config" => self.config.version, "suppressed" => suppressed);
        }
    }

    /// Logs what decided that the request was refused.
    fn log_capacity<S, H, C>(&self, node: &Node<S, H, C>)
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let now = node.now();
        let servers = node.table.lock().summary(self.service, now);
        let retries_left = node.budget.lock().retries_left(self.service, now);
        slog::info!(node.log, "forward: capacity at the refusal"; "request" => self.id,
            "service" => self.service, "versions" => ?self.versions, "servers" => ?servers,
            "requests waiting" => node.queues.length(self.service),
            "retries left" => retries_left);
    }

    fn log_attempt<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        choice: &Choice,
        result: &AttemptResult,
        number: usize,
    ) where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let is_first_success =
            number == 1 && !result.outcome.is_failure() && !result.outcome.has_not_run();
        let late = result.duration > self.route.objective;
        let matching = result.matching.as_ref();
        let skipped = matching.map_or(0, |m| m.skipped_responses);
        if is_first_success && !late && skipped == 0 {
            return;
        }
        if let Some(suppressed) = node.limits.retried.pass(node.now()) {
            let table = node.table.lock();
            let server = table.get(choice.key).map(|b| b.server.id.as_str());
            slog::info!(node.log, "forward: attempt completed"; "request" => self.id,
                "attempt" => number, "server" => server, "outcome" => result.outcome.name(),
                "detail" => result.outcome.detail(), "millis" => result.duration.as_millis(),
                "expected millis" => choice.expected.as_millis(),
                "requests in flight" => choice.requests, "cold" => choice.cold,
                "waiting instances" => choice.waiting_instances,
                "report age" => choice.report_age.map(|a| a.as_millis()),
                "reported load" => result.outcome.report().map(|r| r.to_string()),
                "content" => self.fingerprint(&node.codec).to_string(),
                "connection" => matching.map(|m| m.usage.connection),
                "requests before" => matching.map(|m| m.usage.requests),
                "skipped responses" => skipped,
                "names request" => matching.and_then(|m| m.names_request),
                "suppressed" => suppressed);
        }
    }
}

/// Returns the outcome that tells the caller more: a response is preferred to none.
fn prefer_response(last: Option<(AttemptOutcome, u32)>, outcome: AttemptOutcome) -> AttemptOutcome {
    match (last, outcome) {
        (Some((answered @ AttemptOutcome::Answered(..), _)), other)
            if !matches!(other, AttemptOutcome::Answered(..)) =>
        {
            answered
        }
        (_, end) => end,
    }
}
