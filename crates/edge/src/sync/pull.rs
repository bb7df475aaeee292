//! Pulls records from instances that have newer ones.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::record::Kind;
use client::{Limits, Request, Response};
use clock::{Clock, Instant};
use smol::channel::Sender;
use smol::future::or;
use smol::Task;

use super::{Changes, Error, CHANGES_PATH, PART_PATH, TRANSFER_HEADER};
use crate::gossip::{self, MAX_DATAGRAM_BYTES};
use crate::headers::{self, Codec};
use crate::node::Node;
use crate::store::Store;

/// How long an exchange may pause, and wait for its first byte.
const STALL_TIMEOUT: Duration = Duration::from_millis(4000);

/// The timeout of an exchange that does not pause. Over a narrow link that carries other transfers,
/// all records of a large site take seconds.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// How long nothing may arrive until a further instance is asked as well. The instance may have been
/// paused, or its connection may have fallen silent.
const NEXT_PULL_DELAY: Duration = Duration::from_millis(400);

/// How long nothing may arrive in an exchange until it is abandoned in favour of a new connection, the
/// first time. The time doubles with each that is abandoned.
const FIRST_ABANDON_AGE: Duration = NEXT_PULL_DELAY.saturating_mul(2);

/// The most exchanges with one instance, one after the other or at a time, not counting those that were
/// abandoned.
const MAX_EXCHANGES_PER_PEER: u32 = 2;

/// How long an instance that has refused is not asked again, at least. The pause doubles with each
/// refusal, as a transfer takes some hundred milliseconds over a narrow link.
const REFUSAL_PAUSE: Duration = Duration::from_millis(30);

/// The number of times that the pause doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// The longest idle time of a connection to another instance.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(5);

/// The largest response of another instance, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The longest interval between two checks whether this instance is behind.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The interval between two checks whether an exchange makes progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// How long to wait for a change that another instance already has before requesting it: most
/// arrive by push.
const PUSH_GRACE: Duration = Duration::from_millis(5);

/// How long a data centre has had no reader when its other instances ask those of others.
const REMOTE_PULL_DELAY: Duration = Duration::from_millis(1500);

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The other instance has responded with its changes.
    Responded,
    /// The other instance sends changes to others at the moment.
    Refused,
    Failed,
}

/// Pulls changes from another instance.
async fn pull<S, H, C>(node: &Node<S, H, C>, address: SocketAddr) -> Outcome
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const UNAVAILABLE: u16 = 503;
    let received = &node.pulled;
    let (started_at, received_before) = (node.now(), received.bytes());
    let timeout = async {
        let stalled = received.stalled(&node.clock, STALL_TIMEOUT, STALL_TIMEOUT);
        or(stalled, node.clock.sleep(EXCHANGE_TIMEOUT)).await;
        let received = received.bytes() - received_before;
        Err(Error::TimedOut { received })
    };
    let result = or(request_changes(node, address), timeout).await;
    let millis = node.now().since(started_at).as_millis();
    match result {
        Ok((changes, bytes)) => {
            node.metrics.received_changes(bytes);
            let mut changed = false;
            for (kind, delta) in Kind::ALL.into_iter().zip(&changes) {
                if let Some(delta) = delta {
                    changed |= node.apply_delta(kind, delta, "peer");
                }
            }
            if changed {
                slog::info!(node.log, "sync: changes pulled"; "address" => %address,
                    "bytes" => bytes, "millis" => millis);
            }
            if changed && node.is_reader() {
                gossip::send_heartbeat(node);
            } else if changed && bytes > MAX_DATAGRAM_BYTES {
                // Others may be waiting for an instance that has the changes and is not busy.
                gossip::send_due_heartbeats(node);
            }
            Outcome::Responded
        }
        Err(Error::Refused(UNAVAILABLE)) => Outcome::Refused,
        Err(error) => {
            if let Some(suppressed) = node.limits.store.pass(node.now()) {
                slog::warn!(node.log, "sync: pulling changes failed"; "address" => %address,
                    "error" => %error, "millis" => millis, "suppressed" => suppressed);
            }
            Outcome::Failed
        }
    }
}

/// Requests changes from another instance. Returns them and their size in bytes.
async fn request_changes<S, H, C>(
    node: &Node<S, H, C>,
    address: SocketAddr,
) -> Result<(Changes, usize), Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let body = rmp_serde::to_vec(&node.needed_revisions())?;
    let first = post(node, address, CHANGES_PATH, &body).await?;
    let Some((number, length)) = transfer(&first)? else {
        let changes = rmp_serde::from_slice(&first.body)?;
        return Ok((changes, first.body.len()));
    };
    let mut bytes = first.body;
    while bytes.len() < length {
        let body = rmp_serde::to_vec(&(number, bytes.len()))?;
        let part = post(node, address, PART_PATH, &body).await?.body;
        if part.is_empty() {
            return Err(Error::Length);
        }
        bytes.extend(part);
    }
    if bytes.len() != length {
        return Err(Error::Length);
    }
    Ok((rmp_serde::from_slice(&bytes)?, length))
}

/// Returns the number of the transfer and the size of the whole response that the first part of a large
/// one names.
fn transfer(response: &Response) -> Result<Option<(u64, usize)>, Error> {
    let Some(text) = headers::find(&response.headers, TRANSFER_HEADER) else {
        return Ok(None);
    };
    let (number, length) = text.split_once('/').ok_or(Error::Length)?;
    let number = number.parse().map_err(|_| Error::Length)?;
    let length = length.parse().map_err(|_| Error::Length)?;
    if length > MAX_RESPONSE_BYTES {
        return Err(Error::Length);
    }
    Ok(Some((number, length)))
}

/// Sends `body` to another instance. Returns its response if it has succeeded.
async fn post<S, H, C>(
    node: &Node<S, H, C>,
    address: SocketAddr,
    path: &str,
    body: &[u8],
) -> Result<Response, Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const OK: u16 = 200;
    let host = address.to_string();
    let request = Request {
        method: "POST",
        target: path,
        host: &host,
        headers: &[],
        body,
    };
    let limits = Limits {
        max_body_bytes: MAX_RESPONSE_BYTES,
        ..Limits::default()
    };
    let connection = node.idle.take(address, MAX_CONNECTION_IDLE).await?;
    let connection = connection.with_received(&node.pulled);
    let (response, connection) = connection.exchange(&request, limits).await?;
    if let Some(connection) = connection {
        node.idle.put(address, connection);
    }
    if response.status != OK {
        return Err(Error::Refused(response.status));
    }
    Ok(response)
}

/// Pulls changes from one instance after the other until one responds. Returns whether one did.
pub(crate) async fn pull_any<S, H, C>(node: &Node<S, H, C>) -> bool
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut addresses = node.addresses.load().to_vec();
    fastrand::shuffle(&mut addresses);
    for address in addresses {
        if pull(node, address).await == Outcome::Responded {
            return true;
        }
    }
    false
}

/// Pulls changes whenever another instance is known to have newer records.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        or(node.lagging.wait(), node.clock.sleep(CHECK_INTERVAL)).await;
        node.clock.sleep(PUSH_GRACE).await;
        if !pull_newer(&node).await {
            node.clock.sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Returns the instances that are known to have newer records.
fn newer_peers<S, H, C>(node: &Node<S, H, C>) -> Vec<SocketAddr>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let revisions = node.view.lock().revisions();
    // The records travel once to each data centre, as its instances take them from its reader.
    let include_remote = node.is_reader() || node.time_without_reader() >= REMOTE_PULL_DELAY;
    let members = node.members.lock();
    members.newer_peers(&revisions, include_remote, node.now())
}

/// What an instance has been asked.
#[derive(Debug, Default)]
struct Asked {
    exchanges: u32,
    refusals: u32,
    refused_until: Instant,
}

impl Asked {
    fn is_exhausted(&self) -> bool {
        self.exchanges >= MAX_EXCHANGES_PER_PEER
    }
}

/// The exchanges by which an instance catches up.
struct Catchup<'a, S, H, C> {
    node: &'a Arc<Node<S, H, C>>,
    asked: HashMap<SocketAddr, Asked>,
    /// The exchanges under way, by number, in the order in which they began.
    open: BTreeMap<u32, Exchange>,
    next_number: u32,
    /// How old an exchange is when it may be abandoned.
    abandon_age: Duration,
    sender: Sender<End>,
}

/// An exchange under way, which ends when it is dropped.
struct Exchange {
    peer: SocketAddr,
    begun_at: Instant,
    _task: Task<()>,
}

/// The end of an exchange.
struct End {
    number: u32,
    peer: SocketAddr,
    outcome: Outcome,
}

impl<S, H, C> Catchup<'_, S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Abandons the oldest exchange if none of `peers` may be asked besides those that are asked now.
    /// Nothing arrives in any of them, so that all connections may have fallen silent. Each time the
    /// others are given longer, since responses may only be late.
    fn abandon_oldest(&mut self, peers: &[SocketAddr]) {
        let is_exhausted = |peer| self.asked.get(peer).is_some_and(Asked::is_exhausted);
        let oldest = self.open.iter().find(|(_, e)| peers.contains(&e.peer));
        let Some((&number, exchange)) = oldest.filter(|_| peers.iter().all(is_exhausted)) else {
            return;
        };
        if self.node.now().since(exchange.begun_at) < self.abandon_age {
            return;
        }
        if let Some(asked) = self.asked.get_mut(&exchange.peer) {
            asked.exchanges = asked.exchanges.saturating_sub(1);
        }
        self.open.remove(&number);
        self.abandon_age = (self.abandon_age * 2).min(STALL_TIMEOUT);
    }

    /// Begins an exchange with the instance of `peers` that was asked least, unless all that may be
    /// asked again have just refused.
    fn ask_one(&mut self, peers: &[SocketAddr]) {
        let now = self.node.now();
        let candidates = peers.iter().copied().filter_map(|peer| {
            let asked = self.asked.get(&peer);
            let may_ask = asked.is_none_or(|a| a.refused_until <= now && !a.is_exhausted());
            may_ask.then_some((asked.map_or(0, |a| a.exchanges), peer))
        });
        let mut candidates: Vec<(u32, SocketAddr)> = candidates.collect();
        fastrand::shuffle(&mut candidates);
        let Some((exchanges, peer)) = candidates.into_iter().min_by_key(|(count, _)| *count) else {
            return;
        };
        if exchanges > 0 {
            // Kept connections may have fallen silent.
            self.node.idle.forget(peer);
        }
        self.asked.entry(peer).or_default().exchanges += 1;
        let number = self.next_number;
        self.next_number += 1;
        let (node, sender) = (self.node.clone(), self.sender.clone());
        let task = smol::spawn(async move {
            let outcome = pull(&node, peer).await;
            let end = End {
                number,
                peer,
                outcome,
            };
            // Nobody waits for the result once another exchange has succeeded.
            let _ = sender.send(end).await;
        });
        let exchange = Exchange {
            peer,
            begun_at: now,
            _task: task,
        };
        self.open.insert(number, exchange);
    }

    fn record_end(&mut self, end: &End) {
        self.open.remove(&end.number);
        if end.outcome == Outcome::Refused {
            let asked = self.asked.entry(end.peer).or_default();
            asked.exchanges = asked.exchanges.saturating_sub(1);
            let pause = REFUSAL_PAUSE * 2_u32.pow(asked.refusals.min(MAX_PAUSE_DOUBLINGS));
            asked.refusals += 1;
            asked.refused_until = self.node.now() + pause.mul_f64(1.0 + fastrand::f64());
        }
    }

    /// Returns when the first of `peers` that have refused may be asked again, if any may.
    fn next_attempt(&self, peers: &[SocketAddr]) -> Option<Instant> {
        let asked = peers.iter().filter_map(|peer| self.asked.get(peer));
        let may_ask = asked.filter(|a| !a.is_exhausted());
        may_ask.map(|a| a.refused_until).min()
    }
}

/// Pulls changes from an instance that has newer records, and from further ones while nothing arrives.
/// Returns whether this instance is up to date or another one has responded.
async fn pull_newer<S, H, C>(node: &Arc<Node<S, H, C>>) -> bool
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let (sender, results) = smol::channel::unbounded();
    let mut catchup = Catchup {
        node,
        asked: HashMap::new(),
        open: BTreeMap::new(),
        next_number: 0,
        abandon_age: FIRST_ABANDON_AGE,
        sender,
    };
    let mut received = node.pulled.bytes();
    let mut received_at = node.now();
    loop {
        let peers = newer_peers(node);
        if peers.is_empty() {
            return true;
        }
        if node.pulled.bytes() != received {
            received = node.pulled.bytes();
            received_at = node.now();
        }
        let is_stalled = node.now().since(received_at) >= NEXT_PULL_DELAY;
        if catchup.open.is_empty() || is_stalled {
            catchup.abandon_oldest(&peers);
            catchup.ask_one(&peers);
            received_at = node.now();
        }
        let is_waiting = catchup.open.is_empty();
        let check_at = if !is_waiting {
            node.now() + PROGRESS_INTERVAL
        } else if let Some(at) = catchup.next_attempt(&peers) {
            at
        } else {
            return false;
        };
        let end = async { results.recv().await.ok() };
        let check = async {
            if is_waiting {
                // Another instance may have the records by now.
                or(node.lagging.wait(), node.clock.sleep_until(check_at)).await;
            } else {
                node.clock.sleep_until(check_at).await;
            }
            None
        };
        if let Some(end) = or(end, check).await {
            catchup.record_end(&end);
            if end.outcome == Outcome::Responded {
                return true;
            }
        }
    }
}
