//! Answers operators: health, readiness and status.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use clock::Clock;
use contract::report;
use platform::Store;
use smol::Task;
use thiserror::Error;
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_router::Router;
use trillium_smol::config;

use crate::node::Node;

/// Why an instance takes no calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Unready {
    /// It is about to stop.
    #[error("stopping")]
    Stopping,
    /// It has no bundle, so that it knows no service.
    #[error("no bundle yet")]
    NoBundle,
    /// It has seen no roster, so that it knows no owner.
    #[error("no roster yet")]
    NoRoster,
}

/// The running port for operators. It stops when dropped.
pub(crate) struct Operators {
    address: SocketAddr,
    _serving: Task<()>,
}

impl Operators {
    /// Answers operators at `address`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Bind`].
    pub(crate) fn bind<S, C>(
        address: SocketAddr,
        node: &Arc<Node<S, C>>,
    ) -> Result<Self, crate::Error>
    where
        S: Store,
        C: Clock,
    {
        let bind_error = |source| crate::Error::Bind { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let listener = smol::net::TcpListener::try_from(listener).map_err(bind_error)?;
        let server = config().without_signals().with_prebound_server(listener);
        let serving = smol::spawn(server.run_async(router(node)));
        Ok(Self {
            address,
            _serving: serving,
        })
    }

    /// Returns the address that is answered at.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

fn router<S, C>(node: &Arc<Node<S, C>>) -> impl Handler
where
    S: Store,
    C: Clock,
{
    Router::new()
        .get("/live", "live\n")
        .get(
            "/ready",
            with(node, |node, conn| match node.unready() {
                None => conn.ok("ready\n"),
                Some(reason) => conn
                    .with_status(Status::ServiceUnavailable)
                    .with_body(format!("not ready: {reason}\n"))
                    .halt(),
            }),
        )
        .get("/metrics", with(node, |node, conn| metrics(node, conn)))
        .get(
            "/moves",
            with(node, |node, conn| json(conn, &node.rollout_reports())),
        )
        .get(
            "/status",
            with(node, |node, conn| json(conn, &node.status())),
        )
}

/// Returns a handler that answers from the state of `node`.
fn with<S, C, F>(node: &Arc<Node<S, C>>, answer: F) -> impl Handler
where
    S: Store,
    C: Clock,
    F: Fn(&Node<S, C>, Conn) -> Conn + Copy + Send + Sync + 'static,
{
    let node = node.clone();
    move |conn: Conn| {
        let node = node.clone();
        async move { answer(&node, conn) }
    }
}

fn metrics<S, C>(node: &Node<S, C>, conn: Conn) -> Conn
where
    S: Store,
    C: Clock,
{
    const TEXT_FORMAT: &str = "text/plain; version=0.0.4; charset=utf-8";
    match node.telemetry.metrics.encode() {
        Ok(text) => conn
            .with_response_header(KnownHeaderName::ContentType, TEXT_FORMAT)
            .ok(text),
        Err(e) => conn
            .with_status(Status::InternalServerError)
            .with_body(e.to_string())
            .halt(),
    }
}

fn json<T>(conn: Conn, value: &T) -> Conn
where
    T: serde::Serialize,
{
    match serde_json::to_string(value) {
        Ok(text) => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(text),
        Err(e) => conn
            .with_status(Status::InternalServerError)
            .with_body(e.to_string())
            .halt(),
    }
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns why the instance takes no calls, if it takes none.
    pub(crate) fn unready(&self) -> Option<Unready> {
        let reasons = [
            (self.is_stopping(), Unready::Stopping),
            (self.bundles.version() == 0, Unready::NoBundle),
            (self.view.roster().members.is_empty(), Unready::NoRoster),
        ];
        let mut reasons = reasons.into_iter();
        reasons.find_map(|(holds, reason)| holds.then_some(reason))
    }

    /// Returns what operators read of the instance.
    pub(crate) fn status(&self) -> report::Status {
        let accepted = self.bundles.accepted();
        report::Status {
            instance: self.me.name.clone(),
            centre: self.me.centre.clone(),
            epoch: self.view.roster().epoch.0,
            bundle: accepted.map(|accepted| report::Bundle {
                version: accepted.bundle.version,
                digest: accepted.digest,
            }),
            members: self.member_reports(),
            store_reachable: self.store_reachable.load(Ordering::Acquire),
            pools: self.pool_reports(),
        }
    }

    fn member_reports(&self) -> Vec<report::Member> {
        let leases = self.leases.lock();
        let now = self.now();
        let members = leases.roster().members.iter();
        let reports = members.map(|member| {
            let heard = leases.last_heard(&member.name).map(|at| now - at);
            let mine = member.name == self.me.name;
            let last_heard = if mine {
                Some(std::time::Duration::ZERO)
            } else {
                heard
            };
            report::Member {
                name: member.name.clone(),
                last_heard,
            }
        });
        reports.collect()
    }

    fn pool_reports(&self) -> Vec<report::Pool> {
        let roster = self.view.roster();
        let silent = self.leases.lock().silent_members(self.now());
        let mut pools = self.pools.lock();
        let reports = self.all_pools().into_iter().map(|pool| {
            let mut owners = crate::owner::candidates(&roster, &pool).into_iter();
            let owner = owners.find(|member| !silent.contains(&member.name));
            let allocator = pools.get(&pool);
            report::Pool {
                service: pool.service.clone(),
                centre: pool.centre.clone(),
                owner: owner.map(|member| member.name),
                waiting: allocator.as_ref().map_or(0, |a| a.pool.queued() as u64),
                servers: allocator.map_or_else(Vec::new, |a| server_reports(&a.pool)),
            }
        });
        reports.collect()
    }
}

fn server_reports(pool: &policy::pool::Pool) -> Vec<report::Server> {
    let states = pool.snapshot().into_iter();
    let reports = states.map(|state| report::Server {
        name: state.name,
        version: state.version,
        allowance: state.allowance,
        live: state.live,
        state: words(state.cold, state.ejected, state.leaving),
    });
    reports.collect()
}

fn words(cold: bool, ejected: bool, leaving: bool) -> Vec<String> {
    let all = [(cold, "cold"), (ejected, "ejected"), (leaving, "leaving")];
    let mut words: Vec<String> = all
        .iter()
        .filter(|(holds, _)| *holds)
        .map(|(_, word)| (*word).to_owned())
        .collect();
    if words.is_empty() {
        words.push("warm".to_owned());
    }
    words
}
