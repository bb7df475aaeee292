//! Bounds the memory that bodies take together while they are received.
//!
//! A limit for each body does not bound a process in which many connections receive bodies that do
//! not end.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use crate::Error;

/// The size up to which a body is not counted.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// The unit in which memory is reserved.
const UNIT_BYTES: usize = 64 * 1024;

/// Memory for bodies that several connections receive at the same time. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    available: Arc<AtomicUsize>,
}

impl Memory {
    /// Returns a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            available: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    fn take(&self, bytes: usize) -> Result<(), Error> {
        let taken = self
            .available
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |available| {
                available.checked_sub(bytes)
            });
        taken.map(drop).map_err(|_| Error::OutOfMemory)
    }
}

/// The memory of one body, returned when dropped.
#[derive(Debug)]
pub(crate) struct Reservation<'a> {
    memory: Option<&'a Memory>,
    bytes: usize,
}

impl<'a> Reservation<'a> {
    /// Returns a reservation of nothing. Without `memory`, bodies are not counted.
    pub(crate) fn new(memory: Option<&'a Memory>) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Reserves memory for a body of which `received` bytes have arrived.
    pub(crate) fn grow_to(&mut self, received: usize) -> Result<(), Error> {
        let needed = received.saturating_sub(UNCOUNTED_BYTES);
        if let Some(memory) = self.memory.filter(|_| needed > self.bytes) {
            let added = (needed - self.bytes).div_ceil(UNIT_BYTES) * UNIT_BYTES;
            memory.take(added)?;
            self.bytes += added;
        }
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if let Some(memory) = self.memory {
            memory.available.fetch_add(self.bytes, Ordering::AcqRel);
        }
    }
}
