//! Answers callers.

use std::sync::Arc;

use clock::Clock;
use contract::id;
use platform::Store;
use policy::retry::{self, Decision, Stop};

use super::acquire::Unavailable;
use super::attempt::Attempt;
use super::call::Call;
use super::refusal::Refusal;
use crate::node::Node;
use crate::outcome::Outcome;
use crate::server::{Presence, Request, Response, Service, OUTCOME_HEADER};
use crate::telemetry::Recorder;

/// Answers callers.
pub struct Handler<S, C>(pub Arc<Node<S, C>>)
where
    S: Store,
    C: Clock;

impl<S, C> Clone for Handler<S, C>
where
    S: Store,
    C: Clock,
{
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S, C> Service for Handler<S, C>
where
    S: Store,
    C: Clock,
{
    async fn answer(&self, request: Request, presence: Presence) -> Response {
        let mut recorder = Recorder::start(&self.0, &request);
        let response = self.respond(request, presence, &mut recorder).await;
        recorder.record_response(&response);
        response
    }
}

impl<S, C> Handler<S, C>
where
    S: Store,
    C: Clock,
{
    async fn respond(
        &self,
        request: Request,
        presence: Presence,
        recorder: &mut Recorder<'_, S, C>,
    ) -> Response {
        let node = &self.0;
        let Some(_guard) = node.calls.try_start(node.settings.limits.calls) else {
            return node.refuse(&Refusal::Overloaded);
        };
        let mut call = match Call::parse(&request, &node.view.bundle(), node.now()) {
            Ok(call) => call,
            Err(refusal) => return node.refuse(&refusal),
        };
        recorder.set_route(&call.service, &call.route);
        (call.trace, call.attempts) = (recorder.parent(), recorder.attempts());
        if call.idempotent {
            let gone = async {
                presence.disconnected().await;
                // The caller has disconnected; nobody reads this answer.
                Refusal::Lost.response()
            };
            return smol::future::or(node.run_call(&call, &request), gone).await;
        }
        // A call that must not repeat continues after its caller disconnects, so a resend gets the
        // outcome.
        node.run_claimed(&call, &request).await
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Runs a call and answers it.
    pub(crate) async fn run_call(self: &Arc<Self>, call: &Call, request: &Request) -> Response {
        match self.run_attempts(call, request).await {
            Ok(answer) => complete(answer),
            Err(refusal) => self.refuse(&refusal),
        }
    }

    /// Attempts a call until there is a complete response or no further attempt is allowed.
    pub(crate) async fn run_attempts(
        self: &Arc<Self>,
        call: &Call,
        request: &Request,
    ) -> Result<client::Response, Refusal> {
        let mut tried: Vec<id::Server> = Vec::new();
        let mut may_have_run = false;
        if self.is_quarantined(call.fingerprint) {
            return Err(Refusal::Quarantined);
        }
        self.retries.lock().deposit();
        loop {
            let held = match self.acquire_credit(call, &tried).await {
                Ok(held) => held,
                Err(unavailable) => return Err(end(unavailable, may_have_run)),
            };
            let server = held.credit.server.clone();
            tried.push(server.clone());
            let attempt = self.dispatch(call, request, held).await;
            match &attempt {
                Attempt::Whole(_) | Attempt::Unsent => {}
                Attempt::Lost { crashed } => {
                    may_have_run = true;
                    if *crashed {
                        self.report_crash(call, &server).await;
                    }
                }
                // The server received the request, and nothing but its response indicates that it
                // did not run.
                Attempt::Shed(_) | Attempt::Unattributed => may_have_run = true,
            }
            if let Attempt::Whole(answer) = attempt {
                self.quarantine.lock().record_response(call.fingerprint);
                return Ok(answer);
            }
            match (self.decide(call, &tried, may_have_run), attempt) {
                (Decision::Retry { .. }, _) => {}
                (Decision::Stop(_), Attempt::Shed(answer)) => return Ok(answer),
                (Decision::Stop(_), Attempt::Unattributed) => return Err(Refusal::Undecided),
                (Decision::Stop(Stop::NotRun), _) => return Err(Refusal::NoCapacity),
                (Decision::Stop(Stop::Unknown), _) if self.now() >= call.deadline => {
                    return Err(Refusal::TimedOut)
                }
                (Decision::Stop(Stop::Unknown), _) => return Err(Refusal::Lost),
            }
        }
    }

    /// Counts a refusal and returns the answer to the caller.
    pub(crate) fn refuse(&self, refusal: &Refusal) -> Response {
        self.telemetry.metrics.record_refusal(refusal.reason());
        refusal.response()
    }

    fn decide(&self, call: &Call, tried: &[id::Server], may_have_run: bool) -> Decision {
        let attempt = retry::Context {
            idempotent: call.idempotent,
            may_have_run,
            quarantined: self.is_quarantined(call.fingerprint),
            tried,
            deadline: call.deadline,
            expected_duration: self.expected_duration(call),
        };
        let now = self.now();
        let decision = Decision::decide(&attempt, &mut self.retries.lock(), now);
        if attempt.allows_retry(now) {
            let granted = matches!(decision, Decision::Retry { .. });
            self.telemetry.metrics.record_retry(granted);
        }
        decision
    }
}

fn end(unavailable: Unavailable, may_have_run: bool) -> Refusal {
    match (may_have_run, unavailable) {
        (true, _) => Refusal::Lost,
        (false, Unavailable::Quarantined) => Refusal::Quarantined,
        (false, Unavailable::Capacity) => Refusal::NoCapacity,
    }
}

/// Turns the complete response of a backend server into the answer to the caller.
pub(crate) fn complete(answer: client::Response) -> Response {
    let is_outcome = |name: &str| name.eq_ignore_ascii_case(OUTCOME_HEADER);
    let headers = answer
        .headers
        .into_iter()
        .filter(|(name, _)| !is_outcome(name))
        .collect();
    let response = Response {
        status: answer.status,
        headers,
        body: answer.body,
    };
    response.with_header(OUTCOME_HEADER, Outcome::Complete.as_str())
}
