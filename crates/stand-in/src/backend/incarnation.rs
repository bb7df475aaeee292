//! The state of a backend stand-in from one start to the next.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use clock::{Boottime, Clock, Instant};
use smol::channel::{bounded, Receiver, Sender};
use smol::lock::Semaphore;
use uuid::Uuid;

use super::Warmup;

/// One start of a backend stand-in: the state that a crash discards.
#[derive(Debug)]
pub(super) struct Incarnation {
    id: String,
    started_at: Instant,
    warmup: Warmup,
    responses: AtomicU64,
    in_flight: AtomicUsize,
    slots: Semaphore,
    ended: Receiver<()>,
}

impl Incarnation {
    /// Starts an incarnation, which ends when the sender is dropped.
    pub(super) fn start(warmup: Warmup, slots: usize) -> (Arc<Self>, Sender<()>) {
        let (sender, ended) = bounded(1);
        (Self::new(warmup, slots, ended), sender)
    }

    fn new(warmup: Warmup, slots: usize, ended: Receiver<()>) -> Arc<Self> {
        Arc::new(Self {
            id: Uuid::new_v4().to_string(),
            started_at: Boottime.now(),
            warmup,
            responses: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            slots: Semaphore::new(slots),
            ended,
        })
    }

    /// Starts a cold incarnation that ends together with this one.
    pub(super) fn cold_successor(&self, slots: usize) -> Arc<Self> {
        Self::new(self.warmup, slots, self.ended.clone())
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
        let responses = self.responses.load(Ordering::SeqCst);
        let age = Boottime.now() - self.started_at;
        responses < self.warmup.requests || age < self.warmup.time
    }

    /// Returns the slowdown of a request that starts now.
    pub(super) fn cold_factor(&self) -> f64 {
        if !self.is_cold() {
            return 1.0;
        }
        self.warmup.factor * self.in_flight().max(1) as f64
    }

    pub(super) fn record_response(&self) {
        self.responses.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(super) fn track_request(self: &Arc<Self>) -> Guard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Guard(Arc::clone(self))
    }

    /// Completes when the incarnation ends.
    pub(super) async fn ended(&self) {
        let _ = self.ended.recv().await;
    }
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct Guard(Arc<Incarnation>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
