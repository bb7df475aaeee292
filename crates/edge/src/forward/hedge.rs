//! Sends a request that may repeat to a second server when the first one takes too long.

use std::pin::Pin;
use std::sync::Arc;

use balance::hedge::{self, Overdue};
use balance::query::Choice;
use balance::server::Key;
use clock::Clock;
use smol::future::{self, Future};

use super::attempt::OutgoingRequest;
use super::dispatch::Dispatch;
use super::outcome::AttemptResult;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// An attempt that has ended, and the server that it was sent to.
pub(super) type Ended = (Choice, AttemptResult);

/// Which of two futures completed first.
enum First<A, B> {
    A(A),
    B(B),
}

impl Dispatch<'_> {
    /// Sends the request to the server `choice`, and to a second one if that is worthwhile. Returns
    /// the attempts that have ended, the decisive one last; none if the server is no longer listed.
    /// An attempt that is still in flight then is abandoned, which closes its connection.
    pub(super) async fn attempt_hedged<S, H, C>(
        &self,
        node: &Arc<Node<S, H, C>>,
        choice: Choice,
        outgoing: &OutgoingRequest<'_>,
        tried: &mut Vec<Key>,
    ) -> Vec<Ended>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let sent_at = node.now();
        let mut first = Box::pin(node.attempt(choice.key, outgoing));
        let with_choice = |result: Option<AttemptResult>, choice| {
            result.map(|result| (choice, result)).into_iter().collect()
        };
        if !self.may_hedge(node, tried) {
            return with_choice(first.await, choice);
        }
        for (check, delay) in hedge::delays(choice.expected).into_iter().enumerate() {
            let timer = async {
                node.clock.sleep_until(sent_at + delay).await;
            };
            if let First::A(result) = race(first.as_mut(), timer).await {
                return with_choice(result, choice);
            }
            let Some(second) = self.second_server(node, tried, check) else {
                continue;
            };
            tried.push(second.key);
            node.metrics.hedge(self.service);
            let other = Box::pin(node.attempt(second.key, outgoing));
            return first_success((first, choice), (other, second)).await;
        }
        with_choice(first.await, choice)
    }

    /// Returns whether the request may be sent to a second server while the first one works on it.
    fn may_hedge<S, H, C>(&self, node: &Node<S, H, C>, tried: &[Key]) -> bool
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        self.route.idempotent
            && tried.len() == 1
            && self.route.max_attempts > 1
            // A second server would hide that those of a new version are slow.
            && !node.rollouts.lock().is_active(self.service)
            && !self.is_suspected(node)
    }

    /// Returns a second server if it is worth its load, and counts it as a retry.
    fn second_server<S, H, C>(
        &self,
        node: &Node<S, H, C>,
        tried: &[Key],
        check: usize,
    ) -> Option<Choice>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let now = node.now();
        let overdue = Overdue {
            elapsed: now.since(self.arrived_at),
            objective: self.route.objective,
            time_left: self.deadline.since(now),
        };
        let candidates = self.candidates(node, tried, fastrand::u64(..)).ok()?;
        let second = candidates
            .into_iter()
            .map(|candidate| candidate.choice)
            .find(|choice| !choice.is_saturated && !choice.cold)?;
        let is_granted = overdue.needs_second(check, second.expected)
            && node.budget.lock().try_hedge(self.service, now);
        is_granted.then_some(second)
    }
}

/// Waits for the first of two attempts that succeeds, or for both. Returns the attempts that have
/// ended, the decisive one last.
async fn first_success<A, B>(a: (Pin<Box<A>>, Choice), b: (Pin<Box<B>>, Choice)) -> Vec<Ended>
where
    A: Future<Output = Option<AttemptResult>>,
    B: Future<Output = Option<AttemptResult>>,
{
    let ((mut first, first_choice), (mut second, second_choice)) = (a, b);
    let (result, choice, is_first) = match race(first.as_mut(), second.as_mut()).await {
        First::A(result) => (result, first_choice, true),
        First::B(result) => (result, second_choice, false),
    };
    let mut ended: Vec<Ended> = result.map(|result| (choice, result)).into_iter().collect();
    let succeeded = ended
        .iter()
        .any(|(_, result)| !result.outcome.is_failure() && !result.outcome.has_not_run());
    if succeeded {
        return ended;
    }
    let (other, choice) = if is_first {
        (second.await, second_choice)
    } else {
        (first.await, first_choice)
    };
    ended.extend(other.map(|result| (choice, result)));
    ended
}

async fn race<A, B>(a: A, b: B) -> First<A::Output, B::Output>
where
    A: Future,
    B: Future,
{
    future::or(async { First::A(a.await) }, async { First::B(b.await) }).await
}
