//! Returns the sums that this instance has collected.

use std::sync::Arc;

use balance::usage::Sums;
use clock::Clock;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

use super::SUMS_PATH;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// Returns the handler for requests of other instances. The body of a request is the number of a window.
pub(crate) fn handler<S, H, C>(node: &Arc<Node<S, H, C>>) -> impl Handler
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let node = node.clone();
    Router::new().post(SUMS_PATH, move |mut conn: Conn| {
        let node = node.clone();
        async move {
            let Some(window) = read_window(&mut conn).await else {
                return conn.with_status(Status::BadRequest).halt();
            };
            // The asker tries the other collector.
            let Some(sums) = own_sums(&node, window) else {
                return conn.with_status(Status::NotFound).halt();
            };
            match rmp_serde::to_vec(&sums) {
                Ok(bytes) => conn.ok(bytes),
                Err(_) => conn.with_status(Status::InternalServerError).halt(),
            }
        }
    })
}

async fn read_window(conn: &mut Conn) -> Option<u64> {
    let body = conn.request_body().await.read_bytes().await.ok()?;
    rmp_serde::from_slice(&body).ok()
}

/// Returns the sums of `window`, if this instance is a collector.
pub(super) fn own_sums<S, H, C>(node: &Node<S, H, C>, window: u64) -> Option<Sums>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let usage = &node.tenant_usage;
    let collectors = usage.collectors.load();
    let own = node.identity.boot;
    let is_collector = collectors.iter().any(|(boot, _)| *boot == own);
    if !is_collector {
        return None;
    }
    let live = node.members.lock().live_boots(node.now());
    Some(usage.collector.lock().sums(window, &live))
}
