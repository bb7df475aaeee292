//! Hands what was read from the store to the instances that lag.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::record::Kind;
use balance::replica::Delta;
use client::{Limits, Request};
use clock::Clock;
use thiserror::Error;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

use crate::gossip;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// Where instances ask each other for changes.
const PATH: &str = "/changes";

/// How long one exchange between instances may take.
const TIME_LIMIT: Duration = Duration::from_millis(1500);

/// How long a connection to another instance is kept when it is idle.
const IDLE_FOR: Duration = Duration::from_secs(5);

/// The largest answer of an instance, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// The longest pause between two looks at whether this instance lags.
const INTERVAL: Duration = Duration::from_millis(200);

/// How long a change that another instance has is waited for before it is asked for: most come by
/// themselves.
const PATIENCE: Duration = Duration::from_millis(5);

type Revisions = [u64; Kind::ALL.len()];
type Changes = [Option<Delta>; Kind::ALL.len()];

/// Why changes could not be had from another instance.
#[derive(Debug, Error)]
enum Fault {
    #[error(transparent)]
    Exchange(#[from] client::Error),
    #[error("no answer in time")]
    TimedOut,
    #[error("status {0}")]
    Refused(u16),
    #[error("the question cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("the answer cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Returns what answers other instances.
pub(crate) fn handler<S, H, C>(node: &Arc<Node<S, H, C>>) -> impl Handler
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let node = node.clone();
    Router::new().post(PATH, move |mut conn: Conn| {
        let node = node.clone();
        async move {
            let Ok(body) = conn.request_body().await.read_bytes().await else {
                return conn.with_status(Status::BadRequest).halt();
            };
            let Ok(revisions) = rmp_serde::from_slice::<Revisions>(&body) else {
                return conn.with_status(Status::BadRequest).halt();
            };
            let changes: Changes = {
                let knowledge = node.knowledge.lock();
                Kind::ALL.map(|kind| knowledge.feed(kind).delta_since(revisions[kind.index()]))
            };
            match rmp_serde::to_vec(&changes) {
                Ok(bytes) => conn.ok(bytes),
                Err(_) => conn.with_status(Status::InternalServerError).halt(),
            }
        }
    })
}

/// Asks another instance for changes. Returns whether it answered.
async fn pull<S, H, C>(node: &Node<S, H, C>, address: SocketAddr) -> bool
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let timeout = async {
        node.clock.sleep(TIME_LIMIT).await;
        Err(Fault::TimedOut)
    };
    match smol::future::or(ask(node, address), timeout).await {
        Ok(changes) => {
            let mut news = false;
            for (kind, delta) in Kind::ALL.into_iter().zip(&changes) {
                if let Some(delta) = delta {
                    news |= node.learn(kind, delta, "peer");
                }
            }
            if news && node.is_reader() {
                gossip::send_beat(node);
            }
            true
        }
        Err(fault) => {
            if let Some(suppressed) = node.limits.store.pass(node.now()) {
                slog::warn!(node.log, "sync: an instance did not answer"; "address" => %address,
                    "error" => %fault, "suppressed" => suppressed);
            }
            false
        }
    }
}

async fn ask<S, H, C>(node: &Node<S, H, C>, address: SocketAddr) -> Result<Changes, Fault>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    const OK: u16 = 200;
    let revisions = node.knowledge.lock().revisions();
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
        max_body_bytes: MAX_ANSWER,
        ..Limits::default()
    };
    let connection = node.idle.take(address, IDLE_FOR).await?;
    let (answer, connection) = connection.exchange(&request, limits).await?;
    if let Some(connection) = connection {
        node.idle.put(address, connection);
    }
    if answer.status != OK {
        return Err(Fault::Refused(answer.status));
    }
    Ok(rmp_serde::from_slice(&answer.body)?)
}

/// Asks the instances that live until one answers. Returns whether one did.
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

/// Asks for changes whenever another instance is known to have newer records.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        smol::future::or(node.lag.wait(), node.clock.sleep(INTERVAL)).await;
        node.clock.sleep(PATIENCE).await;
        let revisions = node.knowledge.lock().revisions();
        let ahead = node.members.lock().ahead(&revisions, node.now());
        if let Some(address) = fastrand::choice(&ahead) {
            pull(&node, *address).await;
        }
    }
}
