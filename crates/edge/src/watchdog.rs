//! Detects that the process was suspended, and refreshes its data.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};

use crate::freshness::Monitor;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::sync;

/// The interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A check that is late by this much means that the process or its machine was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(600);

/// How long keys are used after the last check. A removed key has to stop working within 2.5 s, of which
/// a second is left for the change to arrive. Requests that wait while the process does not run for less
/// than this are served.
const KEY_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long requests are held back for the refresh after a suspension.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval between log records of the servers' states.
const STATE_LOG_INTERVAL: Duration = Duration::from_secs(5);

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns whether the watchdog is so late that keys may have been removed meanwhile. The process
    /// was suspended if so, and has not yet asked for what changed.
    pub(crate) fn is_unattended(&self) -> bool {
        self.now().since(self.last_check()) > KEY_TIMEOUT
    }

    /// Returns when the watchdog last checked for a suspension. The process may have been suspended
    /// since.
    pub(crate) fn last_check(&self) -> Instant {
        Instant::from_micros(self.checked_at.load(Ordering::Acquire))
    }

    /// Records that the watchdog has checked for a suspension.
    fn record_check(&self) {
        self.checked_at
            .store(self.now().as_micros(), Ordering::Release);
    }
}

/// Updates derived state and compares the age of the records with the limits at each check, and pulls
/// the records from other instances after a suspension. The clock counts time in suspension, so the data
/// is out of date by that time.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut last = node.now();
    let mut logged_at = last;
    let mut monitor = Monitor::new(last);
    loop {
        node.clock.sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let elapsed = now.since(last);
        last = now;
        if elapsed > SUSPENSION_THRESHOLD {
            node.set_stale(true);
            slog::warn!(node.log, "watchdog: process was suspended";
                "millis" => elapsed.as_millis());
            let refreshed = smol::future::or(sync::pull_any(&node), async {
                node.clock.sleep(REFRESH_TIMEOUT).await;
                false
            });
            let refreshed = refreshed.await;
            slog::info!(node.log, "watchdog: process resumed"; "refreshed" => refreshed);
            node.set_stale(false);
            last = node.now();
        }
        node.record_check();
        node.update_derived_state();
        monitor.check(&node);
        if now.since(logged_at) >= STATE_LOG_INTERVAL {
            logged_at = now;
            log_view(&node);
            let (states, slowdown) = {
                let table = node.table.lock();
                (table.summaries(now), table.slowdown())
            };
            slog::info!(node.log, "table: server states"; "services" => ?states,
                "mean slowdown" => slowdown.mean(), "slowdown persistence seconds" => slowdown.persistence_secs());
        }
    }
}

/// Logs which records the instance has, and from whom it expects newer ones.
fn log_view<S, H, C>(node: &Node<S, H, C>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let reader = {
        let members = node.members.lock();
        members.reader(node.now()).map(|reader| reader.address)
    };
    let version = node.config.load().as_ref().map(|config| config.version);
    slog::info!(node.log, "view: state"; "config" => version,
        "revisions" => ?node.view.lock().revisions(), "is reader" => node.is_reader(),
        "reads store" => node.reads_store(), "other reader" => ?reader,
        "millis without reader" => node.time_without_reader().as_millis(),
        "ages" => ?node.freshness.ages(node.now()));
}
