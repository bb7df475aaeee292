//! Tells crashes of servers from lost responses.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Instant;
use contract::id;

use super::{Fingerprint, Loss};

/// Maximum number of lost responses that await a probe of their server. The oldest is evicted
/// first.
const CAPACITY: usize = 1024;

/// How long after a lost response a probe of the server still tells whether it crashed.
const PROBE_WINDOW: Duration = Duration::from_secs(2);

/// A lost response that awaits a probe.
#[derive(Clone, Debug)]
struct Pending {
    server: id::Server,
    loss: Loss,
    recorded_at: Instant,
}

/// The requests whose response was lost, until a probe of the server tells whether it crashed.
///
/// A connection also breaks when the network resets it or the server drops the response, and a
/// response is also missing while a server is slow. A server that answers a probe thereafter did
/// not crash.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    pending: VecDeque<Pending>,
}

impl Detector {
    /// Returns a detector without losses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records at `now` that a response of `server` was lost.
    pub fn record_loss(&mut self, server: &id::Server, loss: Loss, now: Instant) {
        self.remove_expired(now);
        if self.pending.len() == CAPACITY {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            server: server.clone(),
            loss,
            recorded_at: now,
        });
    }

    /// Records that `server` did not answer a probe sent at `sent_at`. Returns the responses that
    /// were lost there before, whose requests are suspected of the crash.
    pub fn record_failed_probe(
        &mut self,
        server: &id::Server,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<Loss> {
        self.remove_expired(now);
        self.take(server, sent_at)
    }

    /// Records that `server` answered a probe sent at `sent_at`, so that it had not crashed before.
    pub fn record_answered_probe(&mut self, server: &id::Server, sent_at: Instant) {
        self.take(server, sent_at);
    }

    /// Returns whether a response of `server` was lost and no probe has told why.
    pub fn is_awaiting_probe(&self, server: &id::Server) -> bool {
        self.pending.iter().any(|p| p.server == *server)
    }

    /// Returns whether a response to the request was lost recently and no probe has told why.
    pub fn is_unexplained(&self, request: Fingerprint, now: Instant) -> bool {
        self.pending
            .iter()
            .any(|p| p.loss.request == request && now < p.recorded_at + PROBE_WINDOW)
    }

    /// Removes and returns the losses at `server` of which a probe sent at `sent_at` tells.
    fn take(&mut self, server: &id::Server, sent_at: Instant) -> Vec<Loss> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        let pending = std::mem::take(&mut self.pending);
        let (taken, kept): (Vec<Pending>, Vec<Pending>) = pending
            .into_iter()
            .partition(|p| p.server == *server && p.loss.is_explained_by(sent_at));
        self.pending = kept.into();
        taken.into_iter().map(|p| p.loss).collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        while self
            .pending
            .front()
            .is_some_and(|p| p.recorded_at + PROBE_WINDOW <= now)
        {
            self.pending.pop_front();
        }
    }
}
