//! A claim that a call holds.

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

use super::keeper::Claiming;
use super::shard_key;
use crate::node::Node;
use crate::telemetry::{self, Parent};

/// How long the report of an outcome is tried.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// The pause between two tries to report.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// A claim that a call holds. Dropped without an outcome, it is reported as unknown.
pub(crate) struct Claimed<S, C>
where
    S: Store,
    C: Clock,
{
    node: Arc<Node<S, C>>,
    settlement: Settlement,
}

impl<S, C> Claimed<S, C>
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

    /// Reports how the call ended.
    pub(crate) fn settle(mut self, end: End) {
        self.settlement.end = end;
    }
}

impl<S, C> Drop for Claimed<S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        let report = report(self.node.clone(), self.settlement.clone());
        smol::spawn(report).detach();
    }
}

/// Reports how a call ended to whoever acts on its shard.
async fn report<S, C>(node: Arc<Node<S, C>>, settlement: Settlement)
where
    S: Store,
    C: Clock,
{
    let deadline = node.now() + REPORT_TIME;
    while !node.try_report(&settlement).await && node.now() < deadline {
        node.clock.sleep(REPORT_PAUSE).await;
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

    /// Asks whoever acts on the shard for a claim. `None` says that no answer came, so that the
    /// claim may have been taken.
    pub(crate) async fn ask_claim(&self, claim: &Claim) -> Option<Verdict> {
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

    /// Answers a request for a claim that came at `came`.
    pub(crate) async fn claim(&self, claim: &Claim, came: Instant) -> Verdict {
        let parent = Parent::received(claim.trace);
        let tracer = &self.telemetry.tracer;
        let mut span = tracer.child("claim", SpanKind::Server, &parent);
        let verdict = self.decide_claim(claim, came).await;
        span.set("chivewheel.verdict", || telemetry::verdict_label(&verdict));
        self.telemetry.metrics.claim(&verdict);
        verdict
    }

    async fn decide_claim(&self, claim: &Claim, came: Instant) -> Verdict {
        let Some((_, since)) = self.shard_standing(claim.shard) else {
            return Verdict::NotOwner;
        };
        let in_memory = self.may_claim_in_memory(claim.shard);
        let request = Request {
            key: claim.key,
            digest: claim.digest,
            attempt: claim.attempt,
            claimant: claim.claimant.clone(),
        };
        let claiming = {
            let now = self.now();
            let mut table = self.claims.lock();
            table
                .keeper(claim.shard, since, now)
                .claim(&request, in_memory, now)
        };
        self.wake_shard(claim.shard);
        match claiming {
            Claiming::Decided(verdict) => verdict,
            Claiming::Waiting(receiver) => {
                let mut pending = Pending {
                    node: self,
                    claim,
                    receiver,
                    done: false,
                };
                pending.verdict(came + claim.max_wait).await
            }
        }
    }

    /// Takes note of how a claimed call ended. Returns false if this instance does not act on the
    /// shard.
    pub(crate) fn settle_claim(&self, settlement: &Settlement) -> bool {
        let Some((_, since)) = self.shard_standing(settlement.shard) else {
            return false;
        };
        let now = self.now();
        let mut table = self.claims.lock();
        table
            .keeper(settlement.shard, since, now)
            .settle(settlement, now);
        drop(table);
        self.wake_shard(settlement.shard);
        true
    }
}

/// A claim that is not in the log yet. If nobody waits for it any more, it is released.
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
            // The drop releases the claim: nothing ran under it, and nothing will.
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
