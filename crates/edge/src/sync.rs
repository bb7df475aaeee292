//! Serves records read from the store to instances that are behind, and pulls them.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use balance::record::Kind;
use balance::replica::Delta;
use client::{Limits, Received, Request};
use clock::Clock;
use parking_lot::Mutex;
use smol::future::or;
use smol::Task;
use thiserror::Error;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

use crate::gossip::{self, MAX_DATAGRAM_BYTES};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// The path at which instances request changes from each other.
const PATH: &str = "/changes";

/// The timeout of an exchange between instances. Over a slow link, a large configuration that all
/// instances of a data centre pull at once takes seconds.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(4000);

/// How long to wait for the response of an instance before asking a further one as well. The
/// instance may have been paused, or its connection may have fallen silent.
const NEXT_PULL_DELAY: Duration = Duration::from_millis(400);

/// The most exchanges with one instance at a time.
const MAX_EXCHANGES_PER_PEER: usize = 2;

/// The longest idle time of a connection to another instance.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(5);

/// The largest response of another instance, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The longest interval between two checks whether this instance is behind.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long to wait for a change that another instance already has before requesting it: most
/// arrive by push.
const PUSH_GRACE: Duration = Duration::from_millis(5);

/// How long a data centre has had no reader when its other instances ask those of others.
const REMOTE_PULL_DELAY: Duration = Duration::from_millis(1500);

type Revisions = [u64; Kind::ALL.len()];
type Changes = [Option<Delta>; Kind::ALL.len()];

/// Why changes could not be pulled from another instance.
#[derive(Debug, Error)]
enum Error {
    #[error(transparent)]
    Exchange(#[from] client::Error),
    #[error("no complete response in time, {received} bytes of it arrived")]
    TimedOut {
        /// The number of bytes that arrived.
        received: usize,
    },
    #[error("status {0}")]
    Refused(u16),
    #[error("the request cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("the response cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Returns the handler for requests of other instances.
pub(crate) fn handler<S, H, C>(node: &Arc<Node<S, H, C>>) -> impl Handler
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let node = node.clone();
    let cache = Arc::new(Mutex::new(None));
    Router::new().post(PATH, move |mut conn: Conn| {
        let (node, cache) = (node.clone(), cache.clone());
        async move {
            let Ok(body) = conn.request_body().await.read_bytes().await else {
                return conn.with_status(Status::BadRequest).halt();
            };
            let Ok(revisions) = rmp_serde::from_slice::<Revisions>(&body) else {
                return conn.with_status(Status::BadRequest).halt();
            };
            match encoded_changes(&node, revisions, &cache) {
                Ok(bytes) => {
                    record_sent(&node, conn.inner().peer_ip(), bytes.len());
                    conn.ok(bytes)
                }
                Err(_) => conn.with_status(Status::InternalServerError).halt(),
            }
        }
    })
}

/// The last response, with the revisions that it leads from and to: all instances of a data centre
/// pull a large configuration at once. Locked before `view`.
struct Cached {
    from: Revisions,
    to: Revisions,
    bytes: Vec<u8>,
}

/// Returns the encoded changes since the given revisions.
fn encoded_changes<S, H, C>(
    node: &Node<S, H, C>,
    from: Revisions,
    cache: &Mutex<Option<Cached>>,
) -> Result<Vec<u8>, rmp_serde::encode::Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut cache = cache.lock();
    let view = node.view.lock();
    let to = view.revisions();
    if let Some(cached) = cache.as_ref().filter(|c| (c.from, c.to) == (from, to)) {
        return Ok(cached.bytes.clone());
    }
    let changes: Changes = Kind::ALL.map(|kind| view.replica(kind).delta_since(from[kind.index()]));
    drop(view);
    let bytes = rmp_serde::to_vec(&changes)?;
    *cache = Some(Cached {
        from,
        to,
        bytes: bytes.clone(),
    });
    Ok(bytes)
}

/// Records that `bytes` of changes are about to be sent to another instance.
fn record_sent<S, H, C>(node: &Node<S, H, C>, address: Option<IpAddr>, bytes: usize)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node.metrics.sent_changes(bytes);
    // Smaller responses are too frequent to be logged one by one.
    if bytes > MAX_DATAGRAM_BYTES {
        slog::info!(node.log, "sync: sending changes";
            "address" => address.map(|a| a.to_string()), "bytes" => bytes);
    }
}

/// Pulls changes from another instance. Returns whether it responded.
async fn pull<S, H, C>(node: &Node<S, H, C>, address: SocketAddr) -> bool
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let received = Received::default();
    let timeout = async {
        node.clock.sleep(EXCHANGE_TIMEOUT).await;
        let received = received.bytes();
        Err(Error::TimedOut { received })
    };
    let started_at = node.now();
    let result = or(request_changes(node, address, &received), timeout).await;
    node.metrics.received_changes(received.bytes());
    match result {
        Ok(changes) => {
            let mut changed = false;
            for (kind, delta) in Kind::ALL.into_iter().zip(&changes) {
                if let Some(delta) = delta {
                    changed |= node.apply_delta(kind, delta, "peer");
                }
            }
            if changed {
                slog::info!(node.log, "sync: changes pulled"; "address" => %address,
                    "bytes" => received.bytes(),
                    "millis" => node.now().since(started_at).as_millis());
            }
            if changed && node.is_reader() {
                gossip::send_heartbeat(node);
            }
            true
        }
        Err(error) => {
            if let Some(suppressed) = node.limits.store.pass(node.now()) {
                slog::warn!(node.log, "sync: pulling changes failed"; "address" => %address,
                    "error" => %error, "millis" => node.now().since(started_at).as_millis(), "suppressed" => suppressed);
            }
            false
        }
    }
}

async fn request_changes<S, H, C>(
    node: &Node<S, H, C>,
    address: SocketAddr,
    received: &Received,
) -> Result<Changes, Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const OK: u16 = 200;
    let revisions = node.needed_revisions();
    let body = rmp_serde::to_vec(&revisions)?;
    let host = address.to_string();
    let request = Request {
        method: "POST",
        target: PATH,
        host: &host,
        headers: &[],
        body: &body,
    };
    let limits = Limits {
        max_body_bytes: MAX_RESPONSE_BYTES,
        ..Limits::default()
    };
    let connection = node.idle.take(address, MAX_CONNECTION_IDLE).await?;
    let connection = connection.with_received(received);
    let (response, connection) = connection.exchange(&request, limits).await?;
    if let Some(connection) = connection {
        node.idle.put(address, connection);
    }
    if response.status != OK {
        return Err(Error::Refused(response.status));
    }
    Ok(rmp_serde::from_slice(&response.body)?)
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
        if pull(node, address).await {
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
        pull_newer(&node).await;
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

/// Pulls changes from an instance that has newer records, and from further ones while there is no
/// response.
async fn pull_newer<S, H, C>(node: &Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let deadline = node.now() + EXCHANGE_TIMEOUT;
    let (sender, results) = smol::channel::unbounded();
    let mut exchanges: Vec<(SocketAddr, Task<()>)> = Vec::new();
    while node.now() < deadline {
        let mut peers = newer_peers(node);
        if peers.is_empty() {
            return;
        }
        fastrand::shuffle(&mut peers);
        let exchanges_with = |peer| exchanges.iter().filter(|(p, _)| *p == peer).count();
        let next = peers
            .into_iter()
            .map(|peer| (exchanges_with(peer), peer))
            .filter(|(count, _)| *count < MAX_EXCHANGES_PER_PEER)
            .min_by_key(|(count, _)| *count);
        let delay = if let Some((count, peer)) = next {
            if count > 0 {
                // Kept connections may have fallen silent.
                node.idle.forget(peer);
            }
            let (node, sender) = (node.clone(), sender.clone());
            let exchange = smol::spawn(async move {
                let has_responded = pull(&node, peer).await;
                // Nobody waits for the result once another exchange has succeeded.
                let _ = sender.send(has_responded).await;
            });
            exchanges.push((peer, exchange));
            NEXT_PULL_DELAY
        } else {
            CHECK_INTERVAL
        };
        let result = async { results.recv().await.unwrap_or(false) };
        let timeout = async {
            node.clock.sleep(delay).await;
            false
        };
        if or(result, timeout).await {
            return;
        }
    }
}
