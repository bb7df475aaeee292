//! Waits for the credit of a ticket.

use clock::{Clock, Instant};
use platform::Store;
use policy::credit;
use policy::ticket;
use smol::channel::Receiver;
use wire::grant::Release;
use wire::Pool;

use super::allocator::Decision;
use crate::node::Node;

/// Waits for the credit of a ticket. Dropping it withdraws the ticket and releases a credit that
/// was granted in the meantime.
pub(crate) struct Waiter<'a, S, C>
where
    S: Store,
    C: Clock,
{
    node: &'a Node<S, C>,
    pool: Pool,
    id: ticket::Id,
    receiver: Receiver<Decision>,
    done: bool,
}

impl<'a, S, C> Waiter<'a, S, C>
where
    S: Store,
    C: Clock,
{
    pub(crate) fn new(
        node: &'a Node<S, C>,
        pool: &Pool,
        id: ticket::Id,
        receiver: Receiver<Decision>,
    ) -> Self {
        Self {
            node,
            pool: pool.clone(),
            id,
            receiver,
            done: false,
        }
    }

    /// Returns the decision on the ticket, or `None` if there is none by `deadline`. The ticket is
    /// then withdrawn.
    pub(crate) async fn decision(&mut self, deadline: Instant) -> Option<Decision> {
        let timeout = async {
            self.node.clock.sleep_until(deadline).await;
            None
        };
        let receiver = &self.receiver;
        let received = async { receiver.recv().await.ok() };
        let decision = smol::future::or(received, timeout).await;
        let decision = decision.or_else(|| self.withdraw());
        self.done = true;
        decision
    }

    /// Withdraws the ticket, and returns the decision if one was already made.
    fn withdraw(&self) -> Option<Decision> {
        let mut pools = self.node.pools.lock();
        if let Some(allocator) = pools.get(&self.pool) {
            allocator.withdraw(self.id);
        }
        self.receiver.try_recv().ok()
    }

    fn release(&self, grant: &credit::Grant) {
        let now = self.node.clock.now();
        let mut pools = self.node.pools.lock();
        if let Some(allocator) = pools.get(&self.pool) {
            let unused = Release {
                credit: grant.credit.id,
                feedback: None,
            };
            allocator.release(&unused, now);
        }
    }
}

impl<S, C> Drop for Waiter<'_, S, C>
where
    S: Store,
    C: Clock,
{
    fn drop(&mut self) {
        if self.done {
            return;
        }
        if let Some(Ok(grant)) = self.withdraw() {
            self.release(&grant);
        }
    }
}
