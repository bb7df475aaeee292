//! HTTP endpoints for readiness and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use clock::Clock;
use smol::Task;
use trillium::{Conn, Handler, HttpConfig, KnownHeaderName, Status};
use trillium_router::Router;
use trillium_smol::config;

use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::Error;

/// The largest body of a request to these ports and the one for other instances, in bytes. Such
/// requests have no body or a few numbers. The library's default is 500 MB.
const MAX_BODY_BYTES: u64 = 16 * 1024;

/// Serves `handler` at `address`, which is bound when this returns.
///
/// # Errors
///
/// [`Error::Bind`].
pub(crate) fn serve<H>(address: SocketAddr, handler: H) -> Result<Task<()>, Error>
where
    H: Handler,
{
    let bind_error = |source| Error::Bind { address, source };
    let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(bind_error)?;
    let listener = smol::net::TcpListener::try_from(listener).map_err(bind_error)?;
    let server = config()
        .without_signals()
        .with_nodelay()
        .with_http_config(HttpConfig::default().with_received_body_max_len(MAX_BODY_BYTES))
        .with_prebound_server(listener);
    Ok(smol::spawn(server.run_async(handler)))
}

/// Returns the handler of the readiness check at `path`.
pub(crate) fn readiness<S, H, C>(node: &Arc<Node<S, H, C>>, path: &str) -> impl Handler
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let node = node.clone();
    Router::new().get(path, move |conn: Conn| {
        let reason = node.not_ready_reason();
        async move {
            match reason {
                None => conn.ok("ready\n"),
                Some(reason) => conn
                    .with_status(Status::ServiceUnavailable)
                    .with_body(format!("not ready: {reason}\n"))
                    .halt(),
            }
        }
    })
}

/// Returns the handler of the metrics endpoint.
pub(crate) fn metrics<S, H, C>(node: &Arc<Node<S, H, C>>) -> impl Handler
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const TEXT_FORMAT: &str = "text/plain; version=0.0.4; charset=utf-8";
    let node = node.clone();
    Router::new().get("/metrics", move |conn: Conn| {
        node.record_freshness();
        let text = node.metrics.encode();
        async move {
            match text {
                Ok(text) => conn
                    .with_response_header(KnownHeaderName::ContentType, TEXT_FORMAT)
                    .ok(text),
                Err(e) => conn
                    .with_status(Status::InternalServerError)
                    .with_body(format!("metrics cannot be encoded: {e}\n"))
                    .halt(),
            }
        }
    })
}
