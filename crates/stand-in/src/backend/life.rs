//! One start of a backend stand-in.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use clock::{Boottime, Clock, Instant};
use smol::channel::{bounded, Receiver, Sender};
use smol::lock::Semaphore;
use uuid::Uuid;

use super::Warmup;

/// One start of a backend stand-in: what a crash takes away.
#[derive(Debug)]
pub(super) struct Life {
    id: String,
    began: Instant,
    warmup: Warmup,
    answered: AtomicU64,
    in_flight: AtomicUsize,
    slots: Semaphore,
    alive: Receiver<()>,
}

impl Life {
    /// Begins a life. It ends when the sender is dropped.
    pub(super) fn begin(warmup: Warmup, slots: usize) -> (Arc<Self>, Sender<()>) {
        let (sender, alive) = bounded(1);
        (Self::new(warmup, slots, alive), sender)
    }

    fn new(warmup: Warmup, slots: usize, alive: Receiver<()>) -> Arc<Self> {
        Arc::new(Self {
            id: Uuid::new_v4().to_string(),
            began: Boottime.now(),
            warmup,
            answered: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            slots: Semaphore::new(slots),
            alive,
        })
    }

    /// Begins a life that ends when this one does.
    pub(super) fn chilled(&self, slots: usize) -> Arc<Self> {
        Self::new(self.warmup, slots, self.alive.clone())
    }

    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) fn slots(&self) -> &Semaphore {
        &self.slots
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(super) fn is_cold(&self) -> bool {
        let answered = self.answered.load(Ordering::SeqCst);
        let age = Boottime.now() - self.began;
        answered < self.warmup.requests || age < self.warmup.time
    }

    /// Returns how much longer a request takes that starts now.
    pub(super) fn cold_factor(&self) -> f64 {
        if !self.is_cold() {
            return 1.0;
        }
        self.warmup.factor * self.in_flight().max(1) as f64
    }

    pub(super) fn add_answered(&self) {
        self.answered.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(super) fn enter(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Guard(Arc::clone(self))
    }

    /// Completes when the life ends.
    pub(super) async fn ended(&self) {
        let _ = self.alive.recv().await;
    }
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct Guard(Arc<Life>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
