//! A ticket that waits for its credit.

use clock::{Clock, Instant};
use platform::Store;
use policy::credit;
use policy::ticket;
use smol::channel::Receiver;
use wire::grant::Release;
use wire::Pool;

use super::desk::Verdict;
use crate::node::Node;

/// A ticket that waits for its credit. Dropping it withdraws the ticket and gives a credit that was
/// granted in the meantime back.
pub(crate) struct Waiting<'a, S, C>
where
    S: Store,
    C: Clock,
{
    node: &'a Node<S, C>,
    pool: Pool,
    id: ticket::Id,
    receiver: Receiver<Verdict>,
    done: bool,
}

impl<'a, S, C> Waiting<'a, S, C>
where
    S: Store,
    C: Clock,
{
    pub(crate) fn new(
        node: &'a Node<S, C>,
        pool: &Pool,
        id: ticket::Id,
        receiver: Receiver<Verdict>,
    ) -> Self {
        Self {
            node,
            pool: pool.clone(),
            id,
            receiver,
            done: false,
        }
    }

    /// Returns what became of the ticket by `deadline`, or `None` if nothing did. Then it is
    /// withdrawn for good.
    pub(crate) async fn verdict(&mut self, deadline: Instant) -> Option<Verdict> {
        let timeout = async {
            self.node.clock.sleep_until(deadline).await;
            None
        };
        let receiver = &self.receiver;
        let received = async { receiver.recv().await.ok() };
        let verdict = smol::future::or(received, timeout).await;
        let verdict = verdict.or_else(|| self.withdraw());
        self.done = true;
        verdict
    }

    /// Withdraws the ticket, or returns what became of it before that.
    fn withdraw(&self) -> Option<Verdict> {
        let mut desks = self.node.desks.lock();
        if let Some(desk) = desks.get(&self.pool) {
            desk.withdraw(self.id);
        }
        self.receiver.try_recv().ok()
    }

    fn give_back(&self, grant: &credit::Grant) {
        let now = self.node.clock.now();
        let mut desks = self.node.desks.lock();
        if let Some(desk) = desks.get(&self.pool) {
            let unused = Release {
                credit: grant.credit.id,
                feedback: None,
            };
            desk.give_back(&unused, now);
        }
    }
}

impl<S, C> Drop for Waiting<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        if self.done {
            return;
        }
        if let Some(Ok(grant)) = self.withdraw() {
            self.give_back(&grant);
        }
    }
}
