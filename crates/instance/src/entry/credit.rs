//! Holds credits for the entry and returns them to the owners of their pools.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};
use parking_lot::Mutex;
use platform::Store;
use policy::credit;
use policy::feedback::Feedback;
use policy::ticket;
use wire::grant::{Release, Releases};
use wire::{Message, Pool};

use crate::node::Node;

/// The instance that granted a credit; `None` for this one.
type Granter = Option<SocketAddr>;

/// The returned credits and withdrawn tickets for one owner of one pool.
#[derive(Debug, Default)]
struct Batch {
    returns: Vec<Release>,
    withdrawn: Vec<ticket::Id>,
}

/// Queues returned credits and withdrawn tickets for the owners of their pools.
#[derive(Debug)]
pub struct Outbox {
    batches: Mutex<HashMap<(SocketAddr, Pool), Batch>>,
    sending: AtomicUsize,
    wake: smol::channel::Sender<()>,
    woken: smol::channel::Receiver<()>,
}

impl Default for Outbox {
    fn default() -> Self {
        let (wake, woken) = smol::channel::bounded(1);
        Self {
            batches: Mutex::default(),
            sending: AtomicUsize::new(0),
            wake,
            woken,
        }
    }
}

impl Outbox {
    fn add<F>(&self, to: SocketAddr, pool: &Pool, add: F)
    where
        F: FnOnce(&mut Batch),
    {
        add(self.batches.lock().entry((to, pool.clone())).or_default());
        // If the channel is full, a wake-up is already pending.
        let _full = self.wake.try_send(());
    }

    /// Withdraws a credit request that is no longer needed.
    pub fn withdraw(&self, to: SocketAddr, pool: &Pool, ticket: ticket::Id) {
        self.add(to, pool, |batch| batch.withdrawn.push(ticket));
    }

    /// Returns whether nothing is queued or being sent.
    pub fn is_empty(&self) -> bool {
        self.batches.lock().is_empty() && self.sending.load(Ordering::Acquire) == 0
    }

    fn take(&self) -> Vec<(SocketAddr, Releases)> {
        let batches = std::mem::take(&mut *self.batches.lock());
        let messages = batches.into_iter().map(|((to, pool), batch)| {
            (
                to,
                Releases {
                    pool,
                    releases: batch.returns,
                    withdrawn: batch.withdrawn,
                },
            )
        });
        messages.collect()
    }
}

/// Sends queued returns. Those added while a message is being sent go into the next one.
pub(crate) async fn run_returns<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    while node.outbox.woken.recv().await.is_ok() {
        for (to, returns) in node.outbox.take() {
            node.outbox.sending.fetch_add(1, Ordering::AcqRel);
            smol::spawn(send(node.clone(), to, returns)).detach();
        }
    }
}

/// Sends returned credits, and retries for as long as an unused credit may be live.
async fn send<S, C>(node: Arc<Node<S, C>>, to: SocketAddr, returns: Releases)
where
    S: Store,
    C: Clock,
{
    const RETRY_DELAY: Duration = Duration::from_millis(100);
    let message = Message::Release(returns);
    let deadline = node.now() + node.settings.times.credit;
    while node.links.call(to, &message).await.is_err() && node.now() < deadline {
        node.clock.sleep(RETRY_DELAY).await;
    }
    node.outbox.sending.fetch_sub(1, Ordering::AcqRel);
}

/// A credit held by the entry. Dropping it returns the credit to its owner.
pub(crate) struct Guard<S, C>
where
    S: Store,
    C: Clock,
{
    node: Arc<Node<S, C>>,
    granter: Granter,
    pub(crate) pool: Pool,
    pub(crate) credit: credit::Credit,
    pub(crate) address: SocketAddr,
    /// When the credit expires; no request may be dispatched on it afterwards.
    pub(crate) expires: Instant,
    evidence: Option<Feedback>,
}

impl<S, C> Guard<S, C>
where
    S: Store,
    C: Clock,
{
    pub(crate) fn new(
        node: &Arc<Node<S, C>>,
        granter: Granter,
        pool: &Pool,
        grant: wire::Grant,
        expires: Instant,
    ) -> Self {
        Self {
            node: node.clone(),
            granter,
            pool: pool.clone(),
            credit: grant.credit,
            address: grant.address,
            expires,
            evidence: None,
        }
    }

    /// Returns the credit with the attempt's feedback.
    pub(crate) fn finish(mut self, evidence: Feedback) {
        self.node
            .telemetry
            .metrics
            .record_attempt(&self.pool, evidence.outcome);
        self.evidence = Some(evidence);
    }
}

impl<S, C> Drop for Guard<S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        let node = &self.node;
        node.holdings.release(&self.pool, self.credit.id);
        let entry = Release {
            credit: self.credit.id,
            feedback: self.evidence.take(),
        };
        match self.granter {
            Some(to) => node
                .outbox
                .add(to, &self.pool, |batch| batch.returns.push(entry)),
            None => node.release_credits(&Releases {
                pool: self.pool.clone(),
                releases: vec![entry],
                withdrawn: Vec::new(),
            }),
        }
    }
}
