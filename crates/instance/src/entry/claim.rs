//! Runs calls that must not repeat.

use std::sync::Arc;
use std::time::Duration;

use claim::key::Key;
use claim::record::Outcome as Recorded;
use clock::Clock;
use platform::Store;
use serde::{Deserialize, Serialize};
use wire::claims::{Claim, End, Verdict};

use super::call::Call;
use super::handler::complete;
use super::refusal::Refusal;
use crate::claims::Guard;
use crate::node::Node;
use crate::outcome::Outcome;
use crate::server::{Request, Response};

/// How long a shard owner may delay its reply to a claim request.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(500);

/// The delay before a claim is requested again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(25);

/// A response as it is stored for resends.
#[derive(Debug, Serialize, Deserialize)]
struct StoredResponse {
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Runs a call that must not repeat, and answers it.
    pub(crate) async fn run_claimed(self: &Arc<Self>, call: &Call, request: &Request) -> Response {
        let digest = claim::request::digest(request.method, &request.target, &request.body);
        let key = Key::new(&call.service, call.key.as_deref().unwrap_or_default());
        let mut claim = self.new_claim(key, digest, call.attempt);
        claim.trace = call.trace.to_wire();
        match self.acquire_claim(call, claim).await {
            Ok(claimed) => self.run_once(call, request, claimed).await,
            Err(response) => response,
        }
    }

    async fn run_once(
        self: &Arc<Self>,
        call: &Call,
        request: &Request,
        claimed: Guard<S, C>,
    ) -> Response {
        match self.run_attempts(call, request).await {
            Ok(answer) => {
                let response = complete(answer);
                claimed.settle(End::Finished(record(&response)));
                response
            }
            Err(refusal) => {
                if refusal.outcome() == Outcome::NotRun {
                    claimed.settle(End::Released);
                }
                self.refuse(&refusal)
            }
        }
    }

    /// Acquires the claim, or returns the answer to a call that does not get it.
    async fn acquire_claim(
        self: &Arc<Self>,
        call: &Call,
        mut claim: Claim,
    ) -> Result<Guard<S, C>, Response> {
        // Without a claim nothing is dispatched. Only the caller knows whether it made an earlier
        // attempt, which may have run.
        let unclaimed = match call.attempt {
            Some(1) => Refusal::NoCapacity,
            _ => Refusal::Undecided,
        };
        // The answer if the deadline passes.
        let mut on_timeout = unclaimed.clone();
        while self.now() < call.deadline {
            claim.max_wait = MAX_CLAIM_WAIT.min(call.deadline - self.now());
            match self.request_claim(&claim).await {
                Some(Verdict::Run) => return Ok(Guard::new(self, &claim)),
                Some(Verdict::Replay(outcome)) => return Err(self.replay(outcome)),
                Some(Verdict::Unknown) => return Err(self.refuse(&Refusal::Undecided)),
                Some(Verdict::Mismatch) => return Err(self.refuse(&Refusal::KeyReused)),
                Some(Verdict::Refused) => on_timeout = Refusal::NoCapacity,
                // The other call's outcome will be the answer to this one.
                Some(Verdict::Running) => on_timeout = Refusal::Undecided,
                Some(Verdict::NotOwner) => {}
                None => {
                    self.release_and_renew(&mut claim);
                    on_timeout = unclaimed.clone();
                }
            }
            self.clock.sleep(CLAIM_RETRY_DELAY).await;
        }
        Err(self.refuse(&on_timeout))
    }

    /// Releases a claim that may have been granted, and prepares a new claim request.
    ///
    /// The new request omits the caller's attempt number: with it, another owner would conclude
    /// that no earlier attempt was made.
    fn release_and_renew(self: &Arc<Self>, claim: &mut Claim) {
        Guard::new(self, claim).settle(End::Released);
        let trace = claim.trace;
        *claim = self.new_claim(claim.key, claim.digest, None);
        claim.trace = trace;
    }

    /// Returns the answer to a resend.
    fn replay(&self, outcome: Recorded) -> Response {
        let Recorded::Complete {
            status,
            response: Some(response),
        } = outcome
        else {
            // The call ran, but its response was too long to store.
            return self.refuse(&Refusal::Lost);
        };
        match rmp_serde::from_slice::<StoredResponse>(&response) {
            Ok(StoredResponse { headers, body }) => Response {
                status,
                headers,
                body,
            },
            Err(_) => self.refuse(&Refusal::Lost),
        }
    }
}

/// Returns the record of a response that is stored for resends.
fn record(response: &Response) -> Recorded {
    let stored = StoredResponse {
        headers: response.headers.clone(),
        body: response.body.clone(),
    };
    let answer = rmp_serde::to_vec(&stored).ok();
    Recorded::Complete {
        status: response.status,
        response: answer,
    }
}
