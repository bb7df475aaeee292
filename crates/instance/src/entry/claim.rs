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
use super::caller::complete;
use super::refusal::Refusal;
use crate::claims::Claimed;
use crate::node::Node;
use crate::outcome::Outcome;
use crate::server::{Request, Response};

/// How long an owner may hold a request for a claim back.
const CLAIM_WAIT: Duration = Duration::from_millis(500);

/// The pause before a claim is asked for again.
const CLAIM_PAUSE: Duration = Duration::from_millis(25);

/// An answer as it is kept for resends.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
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
        match self.obtain_claim(call, claim).await {
            Ok(claimed) => self.run_once(call, request, claimed).await,
            Err(response) => response,
        }
    }

    async fn run_once(
        self: &Arc<Self>,
        call: &Call,
        request: &Request,
        claimed: Claimed<S, C>,
    ) -> Response {
        match self.attempts(call, request).await {
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

    /// Obtains the claim, or returns the answer to a call that does not get it.
    async fn obtain_claim(
        self: &Arc<Self>,
        call: &Call,
        mut claim: Claim,
    ) -> Result<Claimed<S, C>, Response> {
        // Without a claim nothing was dispatched; whether an earlier attempt ran, only the caller
        // can say.
        let unclaimed = match call.attempt {
            Some(1) => Refusal::NoCapacity,
            _ => Refusal::Undecided,
        };
        // What the answer is when the caller's time is up.
        let mut late = unclaimed.clone();
        while self.now() < call.deadline {
            claim.max_wait = CLAIM_WAIT.min(call.deadline - self.now());
            match self.ask_claim(&claim).await {
                Some(Verdict::Run) => return Ok(Claimed::new(self, &claim)),
                Some(Verdict::Replay(outcome)) => return Err(self.replay(outcome)),
                Some(Verdict::Unknown) => return Err(self.refuse(&Refusal::Undecided)),
                Some(Verdict::Mismatch) => return Err(self.refuse(&Refusal::KeyReused)),
                Some(Verdict::Refused) => late = Refusal::NoCapacity,
                // The other call's outcome is this one's answer.
                Some(Verdict::Running) => late = Refusal::Undecided,
                Some(Verdict::NotOwner) => {}
                None => {
                    self.abandon(&mut claim);
                    late = unclaimed.clone();
                }
            }
            self.clock.sleep(CLAIM_PAUSE).await;
        }
        Err(self.refuse(&late))
    }

    /// Gives up a claim that may have been taken, and prepares to ask for another.
    ///
    /// To another owner the caller's attempt number would be the word that nothing was tried before.
    fn abandon(self: &Arc<Self>, claim: &mut Claim) {
        Claimed::new(self, claim).settle(End::Released);
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
            // It ran, but its answer was too long to keep.
            return self.refuse(&Refusal::Lost);
        };
        match rmp_serde::from_slice::<Stored>(&response) {
            Ok(Stored { headers, body }) => Response {
                status,
                headers,
                body,
            },
            Err(_) => self.refuse(&Refusal::Lost),
        }
    }
}

/// Returns what is kept of an answer for resends.
fn record(response: &Response) -> Recorded {
    let stored = Stored {
        headers: response.headers.clone(),
        body: response.body.clone(),
    };
    let answer = rmp_serde::to_vec(&stored).ok();
    Recorded::Complete {
        status: response.status,
        response: answer,
    }
}
