//! Notices that the process has not run for a while.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;

use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::sync;

/// The pause between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A pause that is much longer than asked for: the process, or its machine, stood still.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(600);

/// How long requests wait for news after a standstill.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// The pause between two records of how the servers are.
const STATE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps what follows from members and time up to date, and has what is known asked for again after
/// a standstill: the clock counts through suspension, and what arrived meanwhile is as old as that.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut last = node.now();
    let mut logged_at = last;
    loop {
        node.clock.sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let elapsed = now.since(last);
        last = now;
        if elapsed > SUSPENSION_THRESHOLD {
            node.set_stale(true);
            slog::warn!(node.log, "watchdog: the process stood still";
                "millis" => elapsed.as_millis());
            let refreshed = smol::future::or(sync::pull_any(&node), async {
                node.clock.sleep(REFRESH_TIMEOUT).await;
                false
            });
            let refreshed = refreshed.await;
            slog::info!(node.log, "watchdog: the process goes on"; "renewed" => refreshed);
            node.set_stale(false);
            last = node.now();
        }
        node.update_derived_state();
        if now.since(logged_at) >= STATE_LOG_INTERVAL {
            logged_at = now;
            let (states, pace) = {
                let table = node.table.lock();
                (table.states(now), table.pace())
            };
            slog::info!(node.log, "table: how servers are"; "services" => ?states,
                "mean pace" => pace.mean(), "pace lasts seconds" => pace.persistence());
        }
    }
}
