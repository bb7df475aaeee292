//! Writes the sums of the data centre to the store, so that they outlive its instances.

use std::sync::Arc;
use std::time::Duration;

use balance::usage::{self, Tenure};
use clock::Clock;

use crate::headers::Codec;
use crate::node::Node;
use crate::store::{Error, Store};

/// How long after the end of a window its sums are written. All instances have sent their complete
/// counts twice by then.
const DELAY: Duration = Duration::from_secs(2);

/// The windows that have ended whose sums are written. Their reports may not have been sent yet.
const ENDED_WINDOWS: u64 = 3;

/// The interval between two checks whether a write is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The delay after a failed call. Refused calls are billed too.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Writes the sums once a window, while this instance is the first collector of its data centre.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut last_written = 0;
    let mut is_restored = false;
    let mut tenure = Tenure::default();
    while let Some(length) = node.tenant_usage.window {
        node.clock.sleep(CHECK_INTERVAL).await;
        let collectors = node.tenant_usage.collectors.load_full();
        let first = collectors.first().map(|(boot, _)| *boot);
        let is_first = first == Some(node.identity.boot);
        is_restored &= is_first;
        if !tenure.update(is_first, node.now()) {
            continue;
        }
        let time = node.tenant_usage.time(node.now());
        let last = usage::window(time.saturating_sub(DELAY), length).saturating_sub(1);
        if last == last_written {
            continue;
        }
        match write(&node, last, &mut is_restored).await {
            Ok(()) => last_written = last,
            Err(error) => {
                slog::warn!(node.log, "usage: writing the sums failed"; "window" => last,
                    "error" => %error);
                node.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the sums of the windows up to `last`, and of the one after it, which may not have ended. If
/// another collector may have written some of them that this instance does not know, they are read
/// before, once.
async fn write<S, H, C>(
    node: &Node<S, H, C>,
    last: u64,
    is_restored: &mut bool,
) -> Result<(), Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let (state, centre) = (&node.tenant_usage, &node.identity.centre);
    let oldest = last.saturating_sub(ENDED_WINDOWS - 1);
    if !*is_restored && !state.collector.lock().covers(oldest) {
        let call = node
            .metrics
            .store_call("read usage", node.store.read_usage(centre));
        let reports = call.await?.unwrap_or_default();
        slog::info!(node.log, "usage: read what the collector before wrote";
            "windows" => ?reports.iter().map(|report| report.window).collect::<Vec<_>>());
        state.collector.lock().restore(&reports);
    }
    *is_restored = true;
    let reports = state.collector.lock().reports(last + 1, ENDED_WINDOWS + 1);
    let call = node.store.write_usage(centre, &reports);
    node.metrics.store_call("write usage", call).await
}
