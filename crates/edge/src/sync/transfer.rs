//! Large responses, which an instance sends in parts and to few others at a time.
//!
//! What an instance sends to others waits in the same queues as its heartbeats, its calls of the store
//! and the responses to callers. The receiver asks for one part after the other, so that no more than a
//! part of each response is in the queues, whatever the buffers of the network take. An instance that
//! is refused asks another one that has the records, or the same one later. Instances pass on what they
//! have received, so that the number of those that have it grows with each transfer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use clock::Instant;
use parking_lot::Mutex;

/// The largest part, and the largest response that is sent whole, in bytes.
pub(super) const MAX_PART_BYTES: usize = 16 * 1024;

/// The number of large responses that are sent at a time.
const MAX_TRANSFERS: usize = 2;

/// How long a receiver may leave the next part until another one takes its place. It may have been
/// paused.
const STALL_TIME: Duration = Duration::from_millis(500);

/// A large response of which not all parts have been sent.
#[derive(Debug)]
struct Transfer {
    bytes: Arc<[u8]>,
    /// When the last part was asked for.
    active_at: Instant,
}

/// The large responses that are being sent, by number.
#[derive(Debug, Default)]
pub(super) struct Transfers(Mutex<HashMap<u64, Transfer>>);

impl Transfers {
    /// Begins to send `bytes`. Returns the number of the transfer, or `None` if enough others are under
    /// way.
    pub(super) fn begin(&self, bytes: Arc<[u8]>, now: Instant) -> Option<u64> {
        let mut transfers = self.0.lock();
        transfers.retain(|_, transfer| now.since(transfer.active_at) < STALL_TIME);
        if transfers.len() >= MAX_TRANSFERS {
            return None;
        }
        let number = fastrand::u64(..);
        let active_at = now;
        transfers.insert(number, Transfer { bytes, active_at });
        Some(number)
    }

    /// Returns the part at `offset`, unless the transfer has ended. It ends with its last part.
    pub(super) fn part(&self, number: u64, offset: usize, now: Instant) -> Option<Vec<u8>> {
        let mut transfers = self.0.lock();
        let transfer = transfers.get_mut(&number)?;
        transfer.active_at = now;
        let bytes = transfer.bytes.get(offset..)?;
        let length = bytes.len().min(MAX_PART_BYTES);
        let part = bytes[..length].to_vec();
        if length == bytes.len() {
            transfers.remove(&number);
        }
        Some(part)
    }
}
