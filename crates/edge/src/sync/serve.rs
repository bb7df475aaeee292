//! Serves records to instances that are behind.

use std::net::IpAddr;
use std::sync::Arc;

use balance::record::Kind;
use clock::Clock;
use parking_lot::Mutex;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

use super::{Changes, Revisions, CHANGES_PATH};
use crate::gossip::MAX_DATAGRAM_BYTES;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// Returns the handler for requests of other instances.
pub(crate) fn handler<S, H, C>(node: &Arc<Node<S, H, C>>) -> impl Handler
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let node = node.clone();
    let cache = Arc::new(Mutex::new(None));
    Router::new().post(CHANGES_PATH, move |mut conn: Conn| {
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
