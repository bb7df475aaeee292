//! Queues of requests that wait for a server to have capacity, by priority and then by arrival.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use balance::share::Admission;
use clock::{Clock, Instant};
use parking_lot::Mutex;
use smol::channel::{bounded, Sender};

use crate::gossip::QueueState;

/// Position in a queue: the rank, and a sequence number.
pub(super) type Position = (u32, u64);

#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeMap<Position, Sender<()>>,
    last_request: Instant,
}

impl Queue {
    /// Returns the number of requests that count where instances take turns at `rank`. Requests that
    /// exceed the share of a tenant must not give the others at their instance more turns.
    fn length(&self, rank: u32) -> u32 {
        let length = if Admission::is_shared(rank) {
            self.waiting.range((rank, 0)..=(rank, u64::MAX)).count()
        } else {
            self.waiting.len()
        };
        u32::try_from(length).unwrap_or(u32::MAX)
    }
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    services: HashMap<String, Queue>,
}

/// Queues of requests that wait for a server to have capacity, by service.
#[derive(Debug, Default)]
pub(crate) struct Queues(Mutex<State>);

impl Queues {
    /// Records that a request for `service` arrived.
    pub(crate) fn record_request(&self, service: &str, now: Instant) {
        let mut state = self.0.lock();
        state
            .services
            .entry(service.to_owned())
            .or_default()
            .last_request = now;
    }

    /// Returns whether a request for `service` arrived within `duration`.
    pub(crate) fn is_active(&self, service: &str, duration: Duration, now: Instant) -> bool {
        let state = self.0.lock();
        let queue = state.services.get(service);
        queue
            .is_some_and(|q| q.last_request > Instant::ZERO && now.since(q.last_request) < duration)
    }

    /// Returns a position behind all requests of the same rank.
    pub(crate) fn next_position(&self, rank: u32) -> Position {
        let mut state = self.0.lock();
        state.next += 1;
        (rank, state.next)
    }

    /// Returns whether a request ahead of `position` waits for `service`.
    pub(crate) fn has_earlier(&self, service: &str, position: Position) -> bool {
        let state = self.0.lock();
        let queue = state.services.get(service);
        queue.is_some_and(|q| {
            q.waiting
                .keys()
                .next()
                .is_some_and(|first| *first < position)
        })
    }

    /// Returns the state of each queue that is not empty.
    pub(crate) fn states(&self) -> Vec<QueueState> {
        let state = self.0.lock();
        let states = state.services.iter().filter_map(|(service, queue)| {
            let (rank, _) = queue.waiting.keys().next()?;
            Some(QueueState {
                service: service.clone(),
                priority: *rank,
                requests: queue.length(*rank),
            })
        });
        states.collect()
    }

    /// Returns the number of requests that wait for `service` and count at `rank`.
    pub(crate) fn length_at(&self, service: &str, rank: u32) -> u32 {
        let state = self.0.lock();
        state.services.get(service).map_or(0, |q| q.length(rank))
    }

    /// Returns the number of requests that wait for `service`.
    pub(crate) fn length(&self, service: &str) -> u32 {
        let state = self.0.lock();
        let length = state.services.get(service).map_or(0, |q| q.waiting.len());
        u32::try_from(length).unwrap_or(u32::MAX)
    }

    /// Waits until a server of `service` may have capacity, for at most `limit`. Calls `on_queued`
    /// once the request is in the queue.
    pub(crate) async fn wait<C, F>(
        &self,
        clock: &C,
        service: &str,
        position: Position,
        limit: Duration,
        on_queued: F,
    ) where
        C: Clock,
        F: FnOnce(),
    {
        let (sender, receiver) = bounded(1);
        {
            let mut state = self.0.lock();
            let queue = state.services.entry(service.to_owned()).or_default();
            queue.waiting.insert(position, sender);
        }
        let _place = PositionGuard {
            queues: self,
            service,
            position,
        };
        on_queued();
        let woken = async {
            // The sender lives until the position is released, so that this ends by a wake-up only.
            let _ = receiver.recv().await;
        };
        smol::future::or(woken, clock.sleep(limit)).await;
    }

    /// Wakes the first request that waits for `service`.
    pub(crate) fn wake(&self, service: &str) {
        let state = self.0.lock();
        if let Some(queue) = state.services.get(service) {
            if let Some(sender) = queue.waiting.values().next() {
                // A full channel means that the request has already been woken.
                let _ = sender.try_send(());
            }
        }
    }

    /// Wakes all requests.
    pub(crate) fn wake_all(&self) {
        let state = self.0.lock();
        for sender in state.services.values().flat_map(|q| q.waiting.values()) {
            let _ = sender.try_send(());
        }
    }
}

/// Removes a request from its queue when dropped.
struct PositionGuard<'a> {
    queues: &'a Queues,
    service: &'a str,
    position: Position,
}

impl Drop for PositionGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.queues.0.lock();
        if let Some(queue) = state.services.get_mut(self.service) {
            queue.waiting.remove(&self.position);
        }
    }
}
