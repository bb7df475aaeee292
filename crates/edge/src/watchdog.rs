//! Notices that the process has not run for a while.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;

use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::sync;

/// The pause between two looks.
const INTERVAL: Duration = Duration::from_millis(50);

/// A pause that is much longer than asked for: the process, or its machine, stood still.
const STANDSTILL: Duration = Duration::from_millis(600);

/// How long requests wait for news after a standstill.
const PATIENCE: Duration = Duration::from_millis(400);

/// The pause between two records of how the servers are.
const STATE_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps what follows from members and time up to date, and has what is known asked for again after
/// a standstill: the clock counts through suspension, and what arrived meanwhile is as old as that.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut last = node.now();
    let mut stated = last;
    loop {
        node.clock.sleep(INTERVAL).await;
        let now = node.now();
        let stood_still = now.since(last);
        last = now;
        if stood_still > STANDSTILL {
            node.set_stale(true);
            slog::warn!(node.log, "watchdog: the process stood still";
                "millis" => stood_still.as_millis());
            let renewed = smol::future::or(sync::pull_any(&node), async {
                node.clock.sleep(PATIENCE).await;
                false
            });
            let renewed = renewed.await;
            slog::info!(node.log, "watchdog: the process goes on"; "renewed" => renewed);
            node.set_stale(false);
            last = node.now();
        }
        node.refresh();
        if now.since(stated) >= STATE_INTERVAL {
            stated = now;
            let (states, pace) = {
                let table = node.table.lock();
                (table.summaries(now), table.slowdown())
            };
            slog::info!(node.log, "table: how servers are"; "services" => ?states,
                "mean pace" => pace.mean(), "pace lasts seconds" => pace.persistence_secs());
        }
    }
}
