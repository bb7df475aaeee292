//! The HTTP endpoints for operators: liveness, readiness, metrics, rollouts and status.

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

/// Reasons why an instance is not ready for calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Unready {
    /// It is shutting down.
    #[error("stopping")]
    Stopping,
    /// It has no bundle and therefore knows no services.
    #[error("no bundle yet")]
    NoBundle,
    /// It has no roster and therefore knows no owners of pools.
    #[error("no roster yet")]
    NoRoster,
}

/// The running HTTP server for operators. It stops when dropped.
pub(crate) struct Operators {
    address: SocketAddr,
    _server: Task<()>,
}

impl Operators {
    /// Starts the server on `address`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Bind`] if the address cannot be bound.
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
        let server_task = smol::spawn(server.run_async(router(node)));
        Ok(Self {
            address,
            _server: server_task,
        })
    }

    /// Returns the address that the server listens on.
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
            respond_with(node, |node, conn| match node.unready() {
                None => conn.ok("ready\n"),
                Some(reason) => conn
                    .with_status(Status::ServiceUnavailable)
                    .with_body(format!("not ready: {reason}\n"))
                    .halt(),
            }),
        )
        .get(
            "/metrics",
            respond_with(node, |node, conn| metrics(node, conn)),
        )
        .get(
            "/moves",
            respond_with(node, |node, conn| json(conn, &node.rollout_reports())),
        )
        .get(
            "/status",
            respond_with(node, |node, conn| json(conn, &node.status())),
        )
}

/// Returns a handler that responds from the state of `node`.
fn respond_with<S, C, F>(node: &Arc<Node<S, C>>, respond: F) -> impl Handler
where
    S: Store,
    C: Clock,
    F: Fn(&Node<S, C>, Conn) -> Conn + Copy + Send + Sync + 'static,
{
    let node = node.clone();
    move |conn: Conn| {
        let node = node.clone();
        async move { respond(&node, conn) }
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
    /// Returns why the instance is not ready for calls, or `None` if it is ready.
    pub(crate) fn unready(&self) -> Option<Unready> {
        let reasons = [
            (self.is_stopping(), Unready::Stopping),
            (self.bundles.version() == 0, Unready::NoBundle),
            (self.view.roster().members.is_empty(), Unready::NoRoster),
        ];
        let mut reasons = reasons.into_iter();
        reasons.find_map(|(applies, reason)| applies.then_some(reason))
    }

    /// Returns the status of the instance as reported to operators.
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
            let age = leases.last_heard(&member.name).map(|at| now - at);
            let is_self = member.name == self.me.name;
            let last_heard = if is_self {
                Some(std::time::Duration::ZERO)
            } else {
                age
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
        state: state_labels(state.cold, state.ejected, state.leaving),
    });
    reports.collect()
}

fn state_labels(cold: bool, ejected: bool, leaving: bool) -> Vec<String> {
    let all = [(cold, "cold"), (ejected, "ejected"), (leaving, "leaving")];
    let mut labels: Vec<String> = all
        .iter()
        .filter(|(applies, _)| *applies)
        .map(|(_, label)| (*label).to_owned())
        .collect();
    if labels.is_empty() {
        labels.push("warm".to_owned());
    }
    labels
}
