//! Bounds the memory that messages take together.
//!
//! A limit for each message does not bound a process in which many connections receive messages that do
//! not end, or send messages that the other side does not read.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use crate::Error;

/// The size up to which a message is not counted. It is small enough that some hundred connections
/// together take a few megabytes, and large enough for most requests.
const UNCOUNTED_BYTES: usize = 8 * 1024;

/// The unit in which memory is reserved.
const UNIT_BYTES: usize = 8 * 1024;

/// Memory for messages that several connections hold at the same time. Clones share it.
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

    /// Reserves memory for a message of `bytes`, until the reservation is dropped. A small message needs
    /// none.
    ///
    /// # Errors
    ///
    /// [`Error::OutOfMemory`].
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, Error> {
        let mut reservation = Reservation::new(Some(self));
        reservation.grow_to(bytes)?;
        Ok(reservation)
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

/// The memory of one message, returned when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Option<Memory>,
    bytes: usize,
}

impl Reservation {
    /// Returns a reservation of nothing. Without `memory`, messages are not counted.
    pub(crate) fn new(memory: Option<&Memory>) -> Self {
        Self {
            memory: memory.cloned(),
            bytes: 0,
        }
    }

    /// Reserves memory for a message that takes `needed` bytes.
    pub(crate) fn grow_to(&mut self, needed: usize) -> Result<(), Error> {
        let needed = needed.saturating_sub(UNCOUNTED_BYTES);
        if let Some(memory) = self.memory.as_ref().filter(|_| needed > self.bytes) {
            let added = (needed - self.bytes).div_ceil(UNIT_BYTES) * UNIT_BYTES;
            memory.take(added)?;
            self.bytes += added;
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(memory) = &self.memory {
            memory.available.fetch_add(self.bytes, Ordering::AcqRel);
        }
    }
}
