//! Answers a caller's request.

use std::sync::Arc;
use std::time::Duration;

use balance::config::Config;
use balance::query::{Candidate, Choice, Query, Unavailable};
use balance::rollout::Filter;
use balance::route::Route;
use balance::server::Key;
use balance::turn::{Backlog, Turn};
use clock::{Clock, Instant};

use super::attempt::Sending;
use super::end::{End, Ended};
use super::refusal::Refusal;
use super::waiting::Place;
use crate::callers::{Departure, Request, Response};
use crate::headers::Codec;
use crate::node::Node;
use crate::prober;
use crate::store::Store;

/// The part of the objective that a request waits for a server to have room. What is not served by
/// then would hardly be served in time.
const WAIT_SHARE: f64 = 0.3;

/// The pause between two looks for room. Some room comes with time alone.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// How long a request waits after a standstill for what is known to be renewed.
const RENEWAL_PAUSE: Duration = Duration::from_millis(20);

/// The part of a caller's time, and the time, that a request waits for an instance that has just
/// started to know the configuration. It asks the others and the store at once.
const START_SHARE: f64 = 0.4;
const START_PATIENCE: Duration = Duration::from_millis(600);

/// The servers beyond those of the route that may turn a request away unrun.
const EXTRA_ATTEMPTS: u32 = 1;

/// When a request may come again that nothing is known for.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// The servers that are asked for their load for one request before it is sent.
const MOST_ASKED: usize = 4;

/// How long a request waits for servers to tell their load.
const ASK_LIMIT: Duration = Duration::from_millis(25);

/// The least time that is worth sending a request for.
const LEAST_TIME: Duration = Duration::from_millis(10);

/// A request on its way.
struct Errand<'a> {
    config: &'a Config,
    route: &'a Route,
    service: &'a str,
    id: Option<&'a str>,
    arm: Filter,
    deadline: Instant,
    request: &'a Request,
    departure: &'a Departure,
}

/// What one request has come to.
struct Conclusion {
    response: Response,
    reason: &'static str,
}

/// Answers a caller's request. `departure` tells that the caller has gone.
pub(crate) async fn answer<S, H, C>(
    node: &Arc<Node<S, H, C>>,
    request: &Request,
    came: Instant,
    departure: &Departure,
) -> Response
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let incoming = node.codec.parse_request(&request.headers);
    let id = incoming.request_id.as_deref();
    let patience = incoming
        .time_left
        .unwrap_or(START_PATIENCE)
        .mul_f64(START_SHARE);
    let patience = patience.min(START_PATIENCE);
    while node.is_stale() || (!node.knows_all() && node.now().since(came) < patience) {
        node.clock.sleep(RENEWAL_PAUSE).await;
    }
    let config = node.config.load_full();
    let refuse = |refusal: Refusal| {
        node.metrics.refusal(refusal.reason());
        if let Some(suppressed) = node.limits.refused.pass(node.now()) {
            slog::info!(node.log, "forward: refused"; "request" => id, "reason" => refusal.reason(),
                "status" => refusal.status(), "host" => &request.host, "path" => request.path(),
                "config" => config.as_ref().map(|c| c.version), "suppressed" => suppressed);
        }
        refusal.response(&node.codec, id, Some(REFUSAL_PAUSE))
    };
    let Some(config) = &config else {
        return refuse(Refusal::NoConfig);
    };
    let Some(route) = config.route(&request.host, request.path()) else {
        return refuse(Refusal::NoRoute);
    };
    let Some(service) = route.service(fastrand::f64()) else {
        return refuse(Refusal::NoServer);
    };
    let time_left = incoming
        .time_left
        .map_or(route.timeout, |t| t.min(route.timeout));
    let stage = node.moves.lock().stage(service, came);
    let errand = Errand {
        config,
        route,
        service,
        id,
        arm: stage.map_or(Filter::Base, |s| s.filter(fastrand::f64())),
        deadline: came + time_left,
        request,
        departure,
    };
    node.waiting.note(service, came);
    let work = node.work.expected(&route.name, route.objective);
    node.demand.lock().record(service, work, came);
    node.budget.lock().record_request(service, came);
    let conclusion = errand.run(node).await;
    let took = node.now().since(came);
    let status = conclusion.response.status;
    node.metrics
        .answer(&route.name, status, took, config.version);
    errand.log(node, status, conclusion.reason, took);
    conclusion.response
}

impl Errand<'_> {
    async fn run<S, H, C>(&self, node: &Arc<Node<S, H, C>>) -> Conclusion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let mut tried: Vec<Key> = Vec::new();
        let mut may_have_run = 0;
        let mut arrived = 0;
        let mut last = None;
        let mut waited = Duration::ZERO;
        loop {
            let choice = match self.choose(node, &tried, &mut waited).await {
                Ok(choice) => choice,
                Err(refusal) => return self.give_up(node, last, refusal),
            };
            // What reached no server is no load of any, and costs nothing of the budget.
            if arrived > 0 && !node.budget.lock().try_retry(self.service, node.now()) {
                return self.give_up(node, last, Refusal::NoRoom);
            }
            let sending = Sending {
                request: self.request,
                id: self.id,
                route: &self.route.name,
                aim: self.route.objective,
                idempotent: self.route.idempotent,
                deadline: self.deadline,
            };
            tried.push(choice.key);
            self.departure.bind(!self.route.idempotent);
            let ended = node.attempt(choice.key, &sending).await;
            self.departure.bind(false);
            let Some(ended) = ended else {
                continue;
            };
            self.log_attempt(node, &choice, &ended, tried.len());
            may_have_run += u32::from(!ended.end.has_not_run());
            arrived += u32::from(!matches!(ended.end, End::Unreached(_)));
            let unrun = u32::try_from(tried.len()).unwrap_or(u32::MAX) - may_have_run;
            let again = self.may_repeat(&ended.end)
                && may_have_run < self.route.max_attempts
                && unrun <= self.route.max_attempts + EXTRA_ATTEMPTS;
            let better = keep_better(last, ended.end);
            if !again {
                return self.conclude(node, better, may_have_run);
            }
            last = Some((better, may_have_run));
        }
    }

    /// Returns whether the request may be sent to another server after `end`.
    fn may_repeat(&self, end: &End) -> bool {
        match end {
            End::NotRun(_) | End::Unreached(_) => true,
            End::Answered(..) | End::Lost(_) => self.route.idempotent && end.is_failure(),
            End::TooLate => false,
        }
    }

    /// Chooses a server, and waits for one to have room if need be.
    async fn choose<S, H, C>(
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
        let place = node.waiting.place(self.route.priority);
        let began = node.now();
        let patience = self
            .route
            .objective
            .mul_f64(WAIT_SHARE)
            .saturating_sub(*waited);
        let mut asked = 0;
        loop {
            let now = node.now();
            if self.deadline.since(now) < LEAST_TIME || self.departure.is_gone() {
                return Err(Refusal::Expired);
            }
            let behind = node.waiting.is_behind(self.service, place);
            let found = match self.candidates(node, tried, place.1) {
                Ok(_) if behind && now.since(began) < patience => Err(Unavailable::NoCapacity),
                found => found,
            };
            let contended = {
                let turns = node.turns.lock();
                turns.is_contended(self.service, place.0, now)
            };
            let found = found.map(|candidates| {
                let line = Backlog {
                    priority: place.0,
                    length: node.waiting.length(self.service) + 1,
                };
                let mut turns = node.turns.lock();
                turns.take(self.service, node.me.boot, line, candidates, now)
            });
            match found {
                Ok(Turn::At(at)) if now.since(began) < patience => {
                    let limit = at.since(now).min(LOOK_INTERVAL);
                    self.wait(node, place, limit).await;
                }
                Ok(Turn::Now(candidates)) => {
                    // Whoever else waits would not wait for the answer.
                    let doubtful = if asked < MOST_ASKED && !contended {
                        let is_connected = |key| node.is_connected(key);
                        node.probes
                            .worth_asking(self.service, &candidates, is_connected)
                    } else {
                        Vec::new()
                    };
                    if !doubtful.is_empty() {
                        asked += doubtful.len();
                        prober::ask_all(node, &doubtful, ASK_LIMIT).await;
                        continue;
                    }
                    *waited += now.since(began);
                    if now > began {
                        node.metrics.waited(self.service, now.since(began));
                    }
                    return candidates.first().map(|c| c.choice).ok_or(Refusal::NoRoom);
                }
                Err(Unavailable::NoServers) => return Err(Refusal::NoServer),
                Ok(Turn::At(_)) | Err(Unavailable::NoCapacity) if now.since(began) >= patience => {
                    // Others are not to give way to it any more.
                    node.announced.send();
                    return Err(Refusal::NoRoom);
                }
                Ok(Turn::At(_)) | Err(Unavailable::NoCapacity) => {
                    self.wait(node, place, LOOK_INTERVAL.min(patience)).await;
                }
            }
        }
    }

    /// Waits until a server may have room, for at most `limit`, and has the others know of it.
    async fn wait<S, H, C>(&self, node: &Arc<Node<S, H, C>>, place: Place, limit: Duration)
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let waiting = node
            .waiting
            .wait(&node.clock, self.service, place, limit, || {
                node.announced.send();
            });
        waiting.await;
    }

    /// Returns the servers that can take the request now, the best first.
    fn candidates<S, H, C>(
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
        let now = node.now();
        let query = Query {
            service: self.service,
            versions: &self.arm,
            tried,
            work: node.work.expected(&self.route.name, self.route.objective),
            seed: seed ^ node.me.boot,
        };
        node.table.lock().candidates(&query, now)
    }

    /// Answers when the request cannot be sent any further.
    fn give_up<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        last: Option<(End, u32)>,
        refusal: Refusal,
    ) -> Conclusion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        match last {
            Some((end, may_have_run)) if may_have_run > 0 => self.conclude(node, end, may_have_run),
            _ => self.refuse(node, refusal),
        }
    }

    /// Answers with what came of the last server.
    fn conclude<S, H, C>(&self, node: &Node<S, H, C>, end: End, may_have_run: u32) -> Conclusion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        match end {
            End::Answered(answer, _) => Conclusion {
                response: Response {
                    status: answer.status,
                    headers: answer.headers,
                    body: answer.body,
                },
                reason: "answered by the server",
            },
            End::NotRun(_) | End::Unreached(_) if may_have_run == 0 => {
                self.refuse(node, Refusal::Shed)
            }
            End::TooLate => self.refuse(node, Refusal::TooLate),
            End::NotRun(_) | End::Unreached(_) | End::Lost(_) => self.refuse(node, Refusal::Lost),
        }
    }

    fn refuse<S, H, C>(&self, node: &Node<S, H, C>, refusal: Refusal) -> Conclusion
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        node.metrics.refusal(refusal.reason());
        // Room comes when the requests under way have ended.
        let work = node.work.expected(&self.route.name, self.route.objective);
        Conclusion {
            response: refusal.response(&node.codec, self.id, Some(work)),
            reason: refusal.reason(),
        }
    }

    fn log<S, H, C>(&self, node: &Node<S, H, C>, status: u16, reason: &'static str, took: Duration)
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        const SERVER_ERROR: u16 = 500;
        let in_time = took <= self.route.objective;
        let limiter = if status < SERVER_ERROR && in_time {
            &node.limits.served
        } else {
            &node.limits.failed
        };
        if let Some(suppressed) = limiter.pass(node.now()) {
            slog::info!(node.log, "forward: ended"; "request" => self.id,
                "route" => &self.route.name, "service" => self.service, "status" => status,
                "reason" => reason, "millis" => took.as_millis(), "in time" => in_time,
                "config" => self.config.version, "suppressed" => suppressed);
        }
    }

    fn log_attempt<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        choice: &Choice,
        ended: &Ended,
        number: usize,
    ) where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let routine = number == 1 && !ended.end.is_failure() && !ended.end.has_not_run();
        let late = ended.took > self.route.objective;
        if routine && !late {
            return;
        }
        if let Some(suppressed) = node.limits.retried.pass(node.now()) {
            let table = node.table.lock();
            let server = table.get(choice.key).map(|b| b.server.id.as_str());
            slog::info!(node.log, "forward: an attempt ended"; "request" => self.id,
                "attempt" => number, "server" => server, "end" => ended.end.name(),
                "detail" => ended.end.detail(), "millis" => ended.took.as_millis(),
                "expected millis" => choice.expected.as_millis(),
                "requests there" => choice.requests, "cold" => choice.cold,
                "instances waiting" => choice.waiting_instances,
                "report age" => choice.report_age.map(|a| a.as_millis()),
                "reported at the end" => ended.end.report().map(|r| r.to_string()),
                "suppressed" => suppressed);
        }
    }
}

/// Returns the end that tells the caller more: an answer goes before no answer.
fn keep_better(last: Option<(End, u32)>, end: End) -> End {
    match (last, end) {
        (Some((answered @ End::Answered(..), _)), other) if !matches!(other, End::Answered(..)) => {
            answered
        }
        (_, end) => end,
    }
}
