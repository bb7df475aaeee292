//! Requests that wait for a server to have room, in the order of their ranks.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::{Clock, Instant};
use parking_lot::Mutex;
use smol::channel::{bounded, Sender};

use crate::gossip::Wait;

/// The place of a request: its rank, and when it came.
pub(super) type Place = (u32, u64);

#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeMap<Place, Sender<()>>,
    used_at: Instant,
}

#[derive(Debug, Default)]
struct Queues {
    next: u64,
    services: HashMap<String, Queue>,
}

/// Requests that wait for a server to have room, by service.
#[derive(Debug, Default)]
pub(crate) struct Waiting(Mutex<Queues>);

impl Waiting {
    /// Notes that a request for `service` came.
    pub(crate) fn note(&self, service: &str, now: Instant) {
        let mut queues = self.0.lock();
        queues
            .services
            .entry(service.to_owned())
            .or_default()
            .used_at = now;
    }

    /// Returns whether a request for `service` came within `duration`.
    pub(crate) fn used(&self, service: &str, duration: Duration, now: Instant) -> bool {
        let queues = self.0.lock();
        let queue = queues.services.get(service);
        queue.is_some_and(|q| q.used_at > Instant::ZERO && now.since(q.used_at) < duration)
    }

    /// Takes a place behind those of the same rank.
    pub(crate) fn place(&self, rank: u32) -> Place {
        let mut queues = self.0.lock();
        queues.next += 1;
        (rank, queues.next)
    }

    /// Returns whether requests of a better place wait for `service`.
    pub(crate) fn is_behind(&self, service: &str, place: Place) -> bool {
        let queues = self.0.lock();
        let queue = queues.services.get(service);
        queue.is_some_and(|q| q.waiting.keys().next().is_some_and(|first| *first < place))
    }

    /// Returns the requests that wait, by service.
    pub(crate) fn lines(&self) -> Vec<Wait> {
        let queues = self.0.lock();
        let lines = queues.services.iter().filter_map(|(service, queue)| {
            let (rank, _) = queue.waiting.keys().next()?;
            Some(Wait {
                service: service.clone(),
                rank: *rank,
                requests: u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX),
            })
        });
        lines.collect()
    }

    /// Returns how many requests wait for `service`.
    pub(crate) fn length(&self, service: &str) -> u32 {
        let queues = self.0.lock();
        let length = queues.services.get(service).map_or(0, |q| q.waiting.len());
        u32::try_from(length).unwrap_or(u32::MAX)
    }

    /// Waits until a server of `service` may have room, for at most `limit`.
    /// `begun` is called once the request has its place.
    pub(crate) async fn wait<C, F>(
        &self,
        clock: &C,
        service: &str,
        place: Place,
        limit: Duration,
        begun: F,
    ) where
        C: Clock,
        F: FnOnce(),
    {
        let (sender, receiver) = bounded(1);
        {
            let mut queues = self.0.lock();
            let queue = queues.services.entry(service.to_owned()).or_default();
            queue.waiting.insert(place, sender);
        }
        let _place = Occupied {
            waiting: self,
            service,
            place,
        };
        begun();
        let woken = async {
            // The sender is dropped only when the place is given up.
            let _ = receiver.recv().await;
        };
        smol::future::or(woken, clock.sleep(limit)).await;
    }

    /// Wakes the first request that waits for `service`.
    pub(crate) fn wake(&self, service: &str) {
        let queues = self.0.lock();
        if let Some(queue) = queues.services.get(service) {
            if let Some(sender) = queue.waiting.values().next() {
                // A full channel means that the request has been woken already.
                let _ = sender.try_send(());
            }
        }
    }

    /// Wakes all requests.
    pub(crate) fn wake_all(&self) {
        let queues = self.0.lock();
        for sender in queues.services.values().flat_map(|q| q.waiting.values()) {
            let _ = sender.try_send(());
        }
    }
}

/// A place that is given up when dropped.
struct Occupied<'a> {
    waiting: &'a Waiting,
    service: &'a str,
    place: Place,
}

impl Drop for Occupied<'_> {
    fn drop(&mut self) {
        let mut queues = self.waiting.0.lock();
        if let Some(queue) = queues.services.get_mut(self.service) {
            queue.waiting.remove(&self.place);
        }
    }
}
