//! What the instance announces, if it is the holder.

use std::time::Duration;

use balance::duty::Notice;
use clock::{Clock, Instant};
use parking_lot::Mutex;

use super::Host;

/// The interval between two announcements. A candidate tolerates the loss of two.
const INTERVAL: Duration = Duration::from_millis(500);

/// What the instance announces, if it is the holder, and since when.
#[derive(Debug, Default)]
pub(super) struct Announcement(Mutex<Option<(Notice, Instant)>>);

impl Announcement {
    /// Sets what is announced, and announces at once that a term has begun, has ended, or goes on
    /// with another report.
    pub(super) fn set<H>(&self, notice: Option<Notice>, host: &H, now: Instant)
    where
        H: Host,
    {
        let mut current = self.0.lock();
        let key = |n: &Notice| {
            let window = n.pending.as_ref().map(|p| p.window);
            (n.generation, n.released, n.reported, window)
        };
        if let Some(notice) = &notice {
            let known = current.as_ref().map(|(known, _)| key(known));
            if known != Some(key(notice)) {
                host.announce(notice);
            }
        }
        *current = notice.map(|notice| (notice, now));
    }

    /// Repeats the announcement until the future is dropped.
    pub(super) async fn repeat<H, C>(&self, host: &H, clock: &C)
    where
        H: Host,
        C: Clock,
    {
        loop {
            clock.sleep(INTERVAL).await;
            let current = self.0.lock().clone();
            if let Some((mut notice, at)) = current {
                notice.lease_age += clock.now().since(at);
                host.announce(&notice);
            }
        }
    }
}
