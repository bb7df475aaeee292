//! Checks by consistent calls that the records which the reader has are the store's newest.
//!
//! Invariant: a kind is checked within [`confirm_interval`] after the last consistent call with a response
//! began, whatever becomes of the long-polling calls. If the check gets none within [`CHECK_TIMEOUT`],
//! the store counts as unconfirmed.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use balance::record::Kind;
use clock::{Clock, Instant};
use smol::future::or;

use super::progress::Progress;
use super::{record_failure, ROLE_CHECK_INTERVAL};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::{Check, Error, Store};

/// The timeout of a check, over all connections.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a check may go without a response until it is made on a new connection as well.
const HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Returns the longest interval between two confirmations of the records of `kind`. Changes of the
/// configuration and of servers have to be in force within two seconds, the others within five.
///
/// The intervals differ, so that a check of one kind mostly confirms another one before it is due.
const fn confirm_interval(kind: Kind) -> Duration {
    match kind {
        Kind::Config => Duration::from_millis(1250),
        Kind::Servers => Duration::from_millis(1300),
        Kind::Evacuations => Duration::from_millis(3950),
        Kind::Orders => Duration::from_millis(4000),
    }
}

/// Confirms the records of `kind` in time, whatever becomes of the long-polling call, and lets another
/// instance take over when the store does not respond.
pub(super) async fn run<S, H, C>(node: Arc<Node<S, H, C>>, kind: Kind, progress: Arc<Progress>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        let cursor = progress.cursor(kind);
        // During a known outage the calls of `follow` already check the store.
        if !node.is_reading_store() || cursor == 0 {
            node.clock.sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let begun_at = node.now();
        let due_at = progress.due_at(kind, confirm_interval(kind));
        if due_at > begun_at {
            node.clock.sleep_until(due_at).await;
            continue;
        }
        match check(&node, kind, cursor).await {
            Ok(Check::Current { revision }) => confirm(&node, &progress, kind, revision, begun_at),
            // A long-polling call from a revision that is no longer kept cannot be checked.
            Ok(Check::Changed) | Err(Error::Compacted) => {
                progress.record_changes(kind, cursor, begun_at);
            }
            Err(error) => {
                progress.record_failure(kind, node.now());
                record_failure(&node, kind, &error);
                node.clock.sleep(ROLE_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Records that a consistent call which began at `begun_at` has shown all changes of `kind` up to
/// `revision`, and that they have been applied.
pub(super) fn confirm<S, H, C>(
    node: &Node<S, H, C>,
    progress: &Progress,
    kind: Kind,
    revision: u64,
    begun_at: Instant,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    let confirmed = progress.confirm(kind, revision, begun_at);
    for (kind, is_confirmed) in Kind::ALL.into_iter().zip(confirmed) {
        if is_confirmed {
            node.freshness.confirm(kind, begun_at);
        }
    }
}

/// Checks for changes of `kind` after `cursor`, on a new connection too if there is no response soon:
/// kept ones may have fallen silent. Fails if neither gets a response.
async fn check<S, H, C>(node: &Node<S, H, C>, kind: Kind, cursor: u64) -> Result<Check, Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let begun_at = node.now();
    let call = |limit| {
        let check = node.store.check(kind, cursor, limit);
        node.metrics.store_call("check", check)
    };
    let mut first = pin!(call(CHECK_TIMEOUT));
    let early = or(async { Some(first.as_mut().await) }, async {
        node.clock.sleep_until(begun_at + HEDGE_DELAY).await;
        None
    });
    match early.await {
        Some(Err(Error::Exchange(_))) => {
            node.store.close_idle();
            let passed = node.now().since(begun_at);
            call(CHECK_TIMEOUT.saturating_sub(passed)).await
        }
        Some(result) => result,
        None => {
            node.store.close_idle();
            let second = call(CHECK_TIMEOUT.saturating_sub(HEDGE_DELAY));
            either_response(first, second).await
        }
    }
}

/// Returns the first response of two calls, or the error of the one that fails last.
async fn either_response<A, B>(first: A, second: B) -> Result<Check, Error>
where
    A: Future<Output = Result<Check, Error>>,
    B: Future<Output = Result<Check, Error>>,
{
    let (mut first, mut second) = (pin!(first), pin!(second));
    let ended = or(async { (first.as_mut().await, true) }, async {
        (second.as_mut().await, false)
    });
    match ended.await {
        (Ok(check), _) => Ok(check),
        (Err(_), true) => second.await,
        (Err(_), false) => first.await,
    }
}
