//! Requests claims, and reports how claimed calls ended.

use std::sync::Arc;
use std::time::Duration;

use claim::claimant::Claimant;
use claim::key::Key;
use claim::record::Outcome;
use claim::request::Request;
use claim::shard::Shard;
use clock::{Clock, Instant};
use opentelemetry::trace::SpanKind;
use platform::Store;
use smol::channel::Receiver;
use wire::claims::{Claim, End, Settlement, Verdict};
use wire::{Message, Reply};

use super::session::Answer;
use super::shard_key;
use crate::node::Node;
use crate::telemetry::{self, Parent};

/// How long the report of an outcome is retried.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay between two attempts to report.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A claim held by a call. Dropping it reports the end of the call; without [`Guard::settle`], the
/// outcome is reported as unknown.
pub(crate) struct Guard<S, C>
where
    S: Store,
    C: Clock,
{
    node: Arc<Node<S, C>>,
    settlement: Settlement,
}

impl<S, C> Guard<S, C>
where
    S: Store,
    C: Clock,
{
    pub(crate) fn new(node: &Arc<Node<S, C>>, claim: &Claim) -> Self {
        let settlement = Settlement {
            shard: claim.shard,
            key: claim.key,
            claimant: claim.claimant.clone(),
            end: End::Finished(Outcome::Unknown),
        };
        Self {
            node: node.clone(),
            settlement,
        }
    }

    /// Reports how the call ended, by dropping the guard.
    pub(crate) fn settle(mut self, end: End) {
        self.settlement.end = end;
    }
}

impl<S, C> Drop for Guard<S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        let report = report(self.node.clone(), self.settlement.clone());
        smol::spawn(report).detach();
    }
}

/// Reports how a call ended to the actor for its shard.
async fn report<S, C>(node: Arc<Node<S, C>>, settlement: Settlement)
where
    S: Store,
    C: Clock,
{
    let deadline = node.now() + REPORT_TIMEOUT;
    while !node.try_report(&settlement).await && node.now() < deadline {
        node.clock.sleep(REPORT_RETRY_DELAY).await;
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns a request for a claim by a call of this instance.
    pub(crate) fn new_claim(&self, key: Key, digest: [u8; 16], attempt: Option<u32>) -> Claim {
        let claimant = Claimant {
            instance: self.me.name.clone(),
            call: self.next_ticket().0,
        };
        let shard = key.shard(super::SHARDS);
        Claim {
            shard,
            key,
            digest,
            attempt,
            claimant,
            max_wait: Duration::ZERO,
            trace: None,
        }
    }

    /// Requests a claim from the actor for the shard. `None` means that no answer arrived and the
    /// claim may have been granted.
    pub(crate) async fn request_claim(&self, claim: &Claim) -> Option<Verdict> {
        for member in self.shard_actors(claim.shard) {
            let verdict = if member.name == self.me.name {
                self.claim(claim, self.now()).await
            } else {
                let message = Message::Claim(claim.clone());
                match self
                    .links
                    .call_waiting(member.address, &message, claim.max_wait)
                    .await
                {
                    Ok(Reply::Claimed(verdict)) => verdict,
                    Err(crate::link::Error::Exchange(client::Error::Connect(_))) => continue,
                    _ => return None,
                }
            };
            if verdict != Verdict::NotOwner {
                return Some(verdict);
            }
        }
        Some(Verdict::NotOwner)
    }

    fn shard_actors(&self, shard: Shard) -> Vec<membership::member::Member> {
        const MAX_ACTORS: usize = 3;
        let roster = self.view.roster();
        let mut actors = crate::owner::actors(&roster, &shard_key(shard), None);
        let leases = self.leases.lock();
        let now = self.now();
        actors.retain(|member| !leases.is_silent(&member.name, now));
        actors.truncate(MAX_ACTORS);
        actors
    }

    async fn try_report(&self, settlement: &Settlement) -> bool {
        for member in self.shard_actors(settlement.shard) {
            if member.name == self.me.name {
                if self.settle_claim(settlement) {
                    return true;
                }
                continue;
            }
            let message = Message::Settle(settlement.clone());
            if let Ok(Reply::Done) = self.links.call(member.address, &message).await {
                return true;
            }
        }
        false
    }

    /// Answers a claim request received at `received_at`.
    pub(crate) async fn claim(&self, claim: &Claim, received_at: Instant) -> Verdict {
        let parent = Parent::from_wire(claim.trace);
        let tracer = &self.telemetry.tracer;
        let mut span = tracer.child("claim", SpanKind::Server, &parent);
        let verdict = self.decide_claim(claim, received_at).await;
        span.set("chivewheel.verdict", || telemetry::verdict_label(&verdict));
        self.telemetry.metrics.record_claim(&verdict);
        verdict
    }

    async fn decide_claim(&self, claim: &Claim, received_at: Instant) -> Verdict {
        let Some((_, since)) = self.shard_tenure(claim.shard) else {
            return Verdict::NotOwner;
        };
        let in_memory = self.may_claim_in_memory(claim.shard);
        let request = Request {
            key: claim.key,
            digest: claim.digest,
            attempt: claim.attempt,
            claimant: claim.claimant.clone(),
        };
        let answer = {
            let now = self.now();
            let mut table = self.claims.lock();
            table
                .session_mut(claim.shard, since, now)
                .claim(&request, in_memory, now)
        };
        self.wake_shard(claim.shard);
        match answer {
            Answer::Decided(verdict) => verdict,
            Answer::Pending(receiver) => {
                let mut pending = Pending {
                    node: self,
                    claim,
                    receiver,
                    done: false,
                };
                pending.verdict(received_at + claim.max_wait).await
            }
        }
    }

    /// Records how a claimed call ended. Returns false if this instance does not act on the shard.
    pub(crate) fn settle_claim(&self, settlement: &Settlement) -> bool {
        let Some((_, since)) = self.shard_tenure(settlement.shard) else {
            return false;
        };
        let now = self.now();
        let mut table = self.claims.lock();
        table
            .session_mut(settlement.shard, since, now)
            .settle(settlement, now);
        drop(table);
        self.wake_shard(settlement.shard);
        true
    }
}

/// Waits for a claim that is not in the log yet. If dropped before the verdict, it releases the
/// claim.
struct Pending<'a, S, C>
where
    S: Store,
    C: Clock,
{
    node: &'a Node<S, C>,
    claim: &'a Claim,
    receiver: Receiver<Verdict>,
    done: bool,
}

impl<S, C> Pending<'_, S, C>
where
    S: Store,
    C: Clock,
{
    async fn verdict(&mut self, deadline: Instant) -> Verdict {
        let receiver = &self.receiver;
        let received = async { receiver.recv().await.ok() };
        let timeout = async {
            self.node.clock.sleep_until(deadline).await;
            None
        };
        let verdict = smol::future::or(received, timeout).await;
        match verdict {
            Some(verdict) => {
                self.done = true;
                verdict
            }
            // Dropping `self` releases the claim: nothing has run under it, and nothing will.
            None => Verdict::Refused,
        }
    }
}

impl<S, C> Drop for Pending<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.node.settle_claim(&Settlement {
            shard: self.claim.shard,
            key: self.claim.key,
            claimant: self.claim.claimant.clone(),
            end: End::Released,
        });
    }
}
