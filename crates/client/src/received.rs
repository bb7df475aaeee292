//! Counts the bytes that arrive for a call.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

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
}
