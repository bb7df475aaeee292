//! Counts the bytes that arrive for a call.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;

/// The number of checks within the time without bytes after which a response counts as stalled.
const CHECKS_PER_LIMIT: u32 = 4;

/// The number of bytes that have arrived for a call. Clones share it.
///
/// It distinguishes a slow response from a connection that has fallen silent.
#[derive(Clone, Debug, Default)]
pub struct Received {
    bytes: Arc<AtomicUsize>,
}

impl Received {
    /// Returns the number of bytes that have arrived.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }

    /// Records that `bytes` more have arrived.
    pub fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Completes when no byte has arrived for `limit`, or none at all for `first_limit`.
    pub async fn stalled<C>(&self, clock: &C, first_limit: Duration, limit: Duration)
    where
        C: Clock,
    {
        let mut known = self.bytes();
        let mut deadline = clock.now() + first_limit;
        while clock.now() < deadline {
            let next_check = clock.now() + limit / CHECKS_PER_LIMIT;
            clock.sleep_until(deadline.min(next_check)).await;
            let bytes = self.bytes();
            if bytes != known {
                known = bytes;
                deadline = clock.now() + limit;
            }
        }
    }
}
