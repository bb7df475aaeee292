//! Recognises requests that crash the servers that run them, whatever instance they arrive at.
//!
//! A request whose connection breaks, or whose server falls silent, is suspected if the server then
//! fails a probe. The instances exchange their suspicions: at once, and in heartbeats for those that
//! missed the datagram. A request that two servers crashed under, one after the other, is refused
//! everywhere: for long if no server is known to have completed it, else for a probation, after
//! which one copy at a time is tried. A complete response clears it everywhere. A suspected request is
//! sent to one server at a time, which is probed first, so that a crash under it can be told from
//! servers that were lost together.

mod trial;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::server::Key;
use clock::{Clock, Instant};
use contract::id;
use policy::quarantine::{Detector, Fingerprint, Loss, Suspicion, Table, CRASH_LIMIT};

use crate::gossip::Message;
use crate::headers::Codec;
use crate::node::Node;
use crate::prober;
use crate::store::Store;

pub(crate) use trial::Trial;

/// How long a request is refused after the latest crash.
const RETENTION: Duration = Duration::from_secs(600);

/// How long a suspicion that blocks nothing is repeated in heartbeats.
const REPEAT_FOR: Duration = Duration::from_secs(3);

/// The most suspicions in a heartbeat, which is to fit into a datagram.
const MAX_PER_HEARTBEAT: usize = 12;

/// A server that was heard of within this time counts as running.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(300);

/// How long a suspected request is refused while it is not known whether its last server crashed.
const VERDICT_TIME: Duration = Duration::from_millis(500);

/// How long a suspected request waits for the probe of the server that it is to be sent to.
const PROBE_WAIT: Duration = Duration::from_millis(100);

/// The interval between probes of a server that lost a response, and their number.
const VERIFY_INTERVAL: Duration = Duration::from_millis(50);
const VERIFY_ATTEMPTS: u32 = 20;

/// What an instance knows of requests that crash servers.
#[derive(Debug)]
pub(crate) struct Suspects {
    detector: Detector,
    table: Table,
    /// The requests of which a copy is being tried after a probation.
    trials: HashSet<Fingerprint>,
}

impl Suspects {
    /// Returns the state without suspicions.
    pub(crate) fn new() -> Self {
        Self {
            detector: Detector::new(),
            table: Table::with_retention(RETENTION).with_stagger(1.0 + fastrand::f64()),
            trials: HashSet::new(),
        }
    }

    /// Returns whether no request is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns for how long the request is refused, or `None` if it may run.
    pub(crate) fn block_left(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let block_left = self.table.block_left(request, now);
        let awaits_verdict = self.trials.contains(&request)
            || self.is_suspected(request, now) && self.detector.is_unexplained(request, now);
        block_left.or(awaits_verdict.then_some(VERDICT_TIME))
    }

    /// Begins a trial of the request if it needs one. Returns whether it does.
    fn begin_trial(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.table.is_on_trial(request, now) && self.trials.insert(request)
    }

    /// Returns whether a server crashed under the request.
    pub(crate) fn is_suspected(&self, request: Fingerprint, now: Instant) -> bool {
        self.table.is_suspected(request, now)
    }

    /// Records that a server has completed the request. Returns whether it was suspected.
    fn clear(&mut self, request: Fingerprint, now: Instant) -> bool {
        let was_suspected = self.is_suspected(request, now);
        self.table.record_completion(request, now);
        was_suspected
    }

    /// Returns the suspicions to repeat in a heartbeat.
    pub(crate) fn for_heartbeat(&self, now: Instant) -> Vec<Suspicion> {
        if self.table.is_empty() {
            return Vec::new();
        }
        let is_recent = |suspicion: &Suspicion| {
            let age = suspicion.crashes.last().map(|crash| crash.age);
            age.is_some_and(|age| age < REPEAT_FOR)
        };
        let mut suspicions = self.table.export(now);
        suspicions.retain(|s| s.crashes.len() >= CRASH_LIMIT || is_recent(s));
        suspicions.truncate(MAX_PER_HEARTBEAT);
        suspicions
    }

    /// Adds the suspicions of another instance. Returns those that tell of crashes that were
    /// unknown, and the requests that the other instance refuses although they have completed since.
    fn merge(
        &mut self,
        suspicions: &[Suspicion],
        now: Instant,
    ) -> (Vec<Suspicion>, Vec<Fingerprint>) {
        let mut news = Vec::new();
        let mut refuted = Vec::new();
        for suspicion in suspicions {
            if self.table.refutes(suspicion, now) {
                if suspicion.crashes.len() >= CRASH_LIMIT {
                    refuted.push(suspicion.fingerprint);
                }
                continue;
            }
            let before = self.table.crashes(suspicion.fingerprint, now);
            self.table.merge(std::slice::from_ref(suspicion), now);
            if self.table.crashes(suspicion.fingerprint, now) > before {
                news.push(suspicion.clone());
            }
        }
        (news, refuted)
    }
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Records that the connection to a server broke while it may have run `request`, which was sent
    /// at `sent_at`, and probes the server in the background to tell whether it crashed.
    pub(crate) fn record_broken_connection(
        self: &Arc<Self>,
        key: Key,
        request: Fingerprint,
        sent_at: Instant,
    ) {
        let loss = Loss {
            request,
            alive_at: sent_at,
            sent_at,
            broke_at: Some(self.now()),
        };
        self.record_loss(key, loss);
    }

    /// Records that a server has not responded to `request`, which was sent at `sent_at` and is
    /// given up. Unless the server was heard of just now, it is probed in the background.
    pub(crate) fn record_silence<F>(self: &Arc<Self>, key: Key, request: F, sent_at: Instant)
    where
        F: FnOnce() -> Fingerprint,
    {
        let now = self.now();
        let heard_at = self.table.lock().get(key).map(|b| b.heard_at());
        let Some(alive_at) = heard_at.filter(|at| now.since(*at) >= SILENCE_THRESHOLD) else {
            return;
        };
        let loss = Loss {
            request: request(),
            alive_at,
            sent_at,
            broke_at: None,
        };
        self.record_loss(key, loss);
    }

    fn record_loss(self: &Arc<Self>, key: Key, loss: Loss) {
        let server = {
            let table = self.table.lock();
            table.get(key).map(|b| id::Server::from(&*b.server.id))
        };
        let Some(server) = server else {
            return;
        };
        let now = self.now();
        self.suspects
            .lock()
            .detector
            .record_loss(&server, loss, now);
        let node = self.clone();
        smol::spawn(async move { verify(&node, key, &server).await }).detach();
    }

    /// Waits until the server `key` has answered a probe, for a short time.
    pub(crate) async fn probe_for_suspect(self: &Arc<Self>, key: Key) {
        prober::probe_all(self, &[key], PROBE_WAIT).await;
    }

    /// Records that a probe of `server` failed, which was sent at `sent_at`.
    pub(crate) fn record_failed_probe(&self, server: &str, sent_at: Instant) {
        let now = self.now();
        let server = id::Server::from(server);
        let suspicions = {
            let mut suspects = self.suspects.lock();
            let lost = suspects.detector.record_failed_probe(&server, sent_at, now);
            if lost.is_empty() {
                return;
            }
            for loss in &lost {
                let crashed_at = loss.crashed_by(sent_at);
                suspects.table.record_crash_between(
                    loss.request,
                    &server,
                    loss.alive_at,
                    crashed_at,
                );
            }
            let all = suspects.table.export(now);
            let of_crash = |s: &Suspicion| lost.iter().any(|loss| loss.request == s.fingerprint);
            all.into_iter().filter(of_crash).collect::<Vec<_>>()
        };
        self.metrics.crash();
        self.log_suspicions(&suspicions, "probe");
        self.send_suspicions(suspicions, true);
    }

    /// Records that `server` answered a probe that was sent at `sent_at`.
    pub(crate) fn record_answered_probe(&self, server: &str, sent_at: Instant) {
        let server = id::Server::from(server);
        let mut suspects = self.suspects.lock();
        suspects.detector.record_answered_probe(&server, sent_at);
    }

    /// Records that a server has completed `request`, which clears it at all instances.
    pub(crate) fn record_completion(&self, request: &crate::callers::Request) {
        let request = request.fingerprint(&self.codec);
        if self.suspects.lock().clear(request, self.now()) {
            slog::info!(self.log, "suspects: request cleared"; "content" => %request);
            self.send_everywhere(&Message::Cleared(request));
        }
    }

    /// Applies suspicions of the instance at `from`. With `relay`, this data centre is told of those
    /// that are news.
    pub(crate) fn apply_suspicions(&self, suspicions: &[Suspicion], relay: bool, from: SocketAddr) {
        if suspicions.is_empty() {
            return;
        }
        let (news, refuted) = self.suspects.lock().merge(suspicions, self.now());
        for request in refuted {
            self.send(&Message::Cleared(request), &[from]);
        }
        if news.is_empty() {
            return;
        }
        self.log_suspicions(&news, "gossip");
        if relay {
            self.send_suspicions(news, false);
        }
    }

    /// Records that the instance at `from` knows of a complete response to `request`. This data
    /// centre is told if the message comes from another one and is news.
    pub(crate) fn apply_cleared(&self, request: Fingerprint, from: SocketAddr) {
        let was_suspected = self.suspects.lock().clear(request, self.now());
        if was_suspected && !self.addresses.load().contains(&from) {
            self.broadcast(&Message::Cleared(request));
        }
    }

    /// Sends suspicions to this data centre and, if `to_others`, to those of others.
    fn send_suspicions(&self, suspicions: Vec<Suspicion>, to_others: bool) {
        for part in suspicions.chunks(MAX_PER_HEARTBEAT) {
            let message = |relay| Message::Suspicions {
                suspicions: part.to_vec(),
                relay,
            };
            self.broadcast(&message(false));
            if to_others {
                self.send(&message(true), &self.other_centres());
            }
        }
    }

    fn log_suspicions(&self, suspicions: &[Suspicion], source: &str) {
        for suspicion in suspicions {
            let Some(suppressed) = self.limits.suspicions.pass(self.now()) else {
                continue;
            };
            let servers: Vec<_> = suspicion.crashes.iter().map(|c| &c.server).collect();
            slog::warn!(self.log, "suspects: servers crashed while they ran a request";
                "content" => %suspicion.fingerprint, "servers" => ?servers,
                "refused" => servers.len() >= CRASH_LIMIT, "source" => source,
                "suppressed" => suppressed);
        }
    }
}

/// Probes a server that lost a response until a probe tells whether it crashed, unless it leaves
/// meanwhile.
async fn verify<S, H, C>(node: &Arc<Node<S, H, C>>, key: Key, server: &id::Server)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    for _ in 0..VERIFY_ATTEMPTS {
        let in_service = {
            let table = node.table.lock();
            let is_open = table.opens_at(key, node.now()).is_none();
            is_open && table.get(key).is_some_and(|b| table.is_in_service(key, b))
        };
        if !in_service || !node.suspects.lock().detector.is_awaiting_probe(server) {
            return;
        }
        // Does nothing while another probe of the server is in flight.
        prober::probe_all(node, &[key], VERIFY_INTERVAL).await;
        if !node.suspects.lock().detector.is_awaiting_probe(server) {
            return;
        }
        node.clock.sleep(VERIFY_INTERVAL).await;
    }
}
