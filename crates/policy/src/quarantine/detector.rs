//! Tells crashes of servers from lost responses.

use std::collections::VecDeque;
use std::time::Duration;

use clock::Instant;
use contract::id;

use super::Fingerprint;

/// Maximum number of lost responses that await a probe of their server. The oldest is evicted
/// first.
const CAPACITY: usize = 1024;

/// How long after a lost response a probe of the server still tells whether it crashed.
const PROBE_WINDOW: Duration = Duration::from_secs(2);

/// A response that was lost.
#[derive(Clone, Debug)]
struct Loss {
    fingerprint: Fingerprint,
    server: id::Server,
    at: Instant,
}

/// The requests whose connection broke before the response, until a probe of the server tells
/// whether it crashed.
///
/// A connection also breaks when the network resets it or the server drops the response. A server
/// that answers a probe thereafter did not crash.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    losses: VecDeque<Loss>,
}

impl Detector {
    /// Returns a detector without losses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the connection to `server` broke while it may have run the request
    /// `fingerprint`.
    pub fn record_loss(&mut self, fingerprint: Fingerprint, server: &id::Server, now: Instant) {
        self.remove_expired(now);
        if self.losses.len() == CAPACITY {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss {
            fingerprint,
            server: server.clone(),
            at: now,
        });
    }

    /// Records that `server` did not answer a probe sent at `sent_at`. Returns the requests that
    /// were lost there before, which are suspected of the crash.
    pub fn record_failed_probe(
        &mut self,
        server: &id::Server,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<Fingerprint> {
        self.remove_expired(now);
        let lost = self.take(server, sent_at);
        lost.into_iter().map(|loss| loss.fingerprint).collect()
    }

    /// Records that `server` answered a probe sent at `sent_at`, so that it had not crashed before.
    pub fn record_answered_probe(&mut self, server: &id::Server, sent_at: Instant) {
        self.take(server, sent_at);
    }

    /// Returns whether a response of `server` was lost and no probe has told why.
    pub fn is_awaiting_probe(&self, server: &id::Server) -> bool {
        self.losses.iter().any(|loss| loss.server == *server)
    }

    /// Removes and returns the losses at `server` until `sent_at`.
    fn take(&mut self, server: &id::Server, sent_at: Instant) -> Vec<Loss> {
        if self.losses.is_empty() {
            return Vec::new();
        }
        let losses = std::mem::take(&mut self.losses);
        let (taken, kept): (Vec<Loss>, Vec<Loss>) = losses
            .into_iter()
            .partition(|loss| loss.server == *server && loss.at <= sent_at);
        self.losses = kept.into();
        taken
    }

    fn remove_expired(&mut self, now: Instant) {
        while self
            .losses
            .front()
            .is_some_and(|loss| loss.at + PROBE_WINDOW <= now)
        {
            self.losses.pop_front();
        }
    }
}
