//! Serves records to instances that are behind.

use std::net::IpAddr;
use std::sync::Arc;

use balance::record::Kind;
use clock::Clock;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

use super::transfer::{Transfers, MAX_PART_BYTES};
use super::{Changes, Revisions, CHANGES_PATH, PART_PATH, TRANSFER_HEADER};
use crate::gossip::MAX_DATAGRAM_BYTES;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// What the handlers keep.
#[derive(Default)]
struct State {
    last: Mutex<Option<Cached>>,
    /// To instances of the same data centre.
    local: Transfers,
    /// To instances of others.
    remote: Transfers,
}

/// The last response, with the revisions that it leads from and to: all instances of a data centre
/// pull a large configuration at once. Locked before `view`.
struct Cached {
    from: Revisions,
    to: Revisions,
    bytes: Arc<[u8]>,
}

/// Returns the handler for requests of other instances.
pub(crate) fn handler<S, H, C>(node: &Arc<Node<S, H, C>>) -> impl Handler
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let state = Arc::new(State::default());
    let (first_node, first_state) = (node.clone(), state.clone());
    let (node, state) = (node.clone(), state);
    Router::new()
        .post(CHANGES_PATH, move |mut conn: Conn| {
            let (node, state) = (first_node.clone(), first_state.clone());
            async move {
                let Some(revisions) = decode_body::<Revisions>(&mut conn).await else {
                    return conn.with_status(Status::BadRequest).halt();
                };
                match encoded_changes(&node, revisions, &state.last) {
                    Ok(bytes) => send_changes(&node, &state, conn, bytes),
                    Err(_) => conn.with_status(Status::InternalServerError).halt(),
                }
            }
        })
        .post(PART_PATH, move |mut conn: Conn| {
            let (node, state) = (node.clone(), state.clone());
            async move {
                let Some((number, offset)) = decode_body::<(u64, usize)>(&mut conn).await else {
                    return conn.with_status(Status::BadRequest).halt();
                };
                let part = |transfers: &Transfers| transfers.part(number, offset, node.now());
                match part(&state.local).or_else(|| part(&state.remote)) {
                    Some(part) => {
                        node.metrics.sent_changes(part.len());
                        conn.ok(part)
                    }
                    None => conn.with_status(Status::NotFound).halt(),
                }
            }
        })
}

/// Returns the decoded body of a request, or `None` if it cannot be received or decoded.
async fn decode_body<T>(conn: &mut Conn) -> Option<T>
where
    T: DeserializeOwned,
{
    let body = conn.request_body().await.read_bytes().await.ok()?;
    rmp_serde::from_slice(&body).ok()
}

/// Responds with `bytes`, or with the first part of them. Responds with 503 if they have several, and
/// enough other instances are being sent such.
fn send_changes<S, H, C>(node: &Node<S, H, C>, state: &State, conn: Conn, bytes: Arc<[u8]>) -> Conn
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let (length, address) = (bytes.len(), conn.inner().peer_ip());
    let log = || {
        slog::info!(node.log, "sync: sending changes";
            "address" => address.map(|a| a.to_string()), "bytes" => length);
    };
    if length <= MAX_PART_BYTES {
        // Smaller responses are too frequent to be logged one by one.
        if length > MAX_DATAGRAM_BYTES {
            log();
        }
        node.metrics.sent_changes(length);
        return conn.ok(bytes.to_vec());
    }
    let is_local = address.is_some_and(|a| is_local(node, a));
    let transfers = if is_local {
        &state.local
    } else {
        &state.remote
    };
    let first = transfers.begin(bytes, node.now()).and_then(|number| {
        let part = transfers.part(number, 0, node.now())?;
        Some((number, part))
    });
    let Some((number, part)) = first else {
        return conn.with_status(Status::ServiceUnavailable).halt();
    };
    log();
    node.metrics.sent_changes(part.len());
    conn.with_response_header(TRANSFER_HEADER, format!("{number}/{length}"))
        .ok(part)
}

/// Returns whether an instance of this data centre has the address.
fn is_local<S, H, C>(node: &Node<S, H, C>, address: IpAddr) -> bool {
    node.addresses.load().iter().any(|a| a.ip() == address)
}

/// Returns the encoded changes since the given revisions.
fn encoded_changes<S, H, C>(
    node: &Node<S, H, C>,
    from: Revisions,
    last: &Mutex<Option<Cached>>,
) -> Result<Arc<[u8]>, rmp_serde::encode::Error>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut last = last.lock();
    let view = node.view.lock();
    let to = view.revisions();
    if let Some(cached) = last.as_ref().filter(|c| (c.from, c.to) == (from, to)) {
        return Ok(cached.bytes.clone());
    }
    let changes: Changes = Kind::ALL.map(|kind| view.replica(kind).delta_since(from[kind.index()]));
    drop(view);
    let bytes: Arc<[u8]> = rmp_serde::to_vec(&changes)?.into();
    *last = Some(Cached {
        from,
        to,
        bytes: bytes.clone(),
    });
    Ok(bytes)
}
