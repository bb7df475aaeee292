//! One running instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use platform::Store;
use slog::Logger;
use smol::Task;

use crate::entry::{self, Caller};
use crate::node::Node;
use crate::operators::Operators;
use crate::peer::Peer;
use crate::server::{Limits, Port, Server};
use crate::settings::{self, Settings};
use crate::telemetry::{self, Telemetry};
use crate::{bundle, claims, lease, moves, owner, servers, Error};

/// How long a caller's connection may be silent.
const CALLER_IDLE: Duration = Duration::from_secs(60);

/// How long another instance's connection may be silent.
const PEER_IDLE: Duration = Duration::from_secs(30);

/// The connections that other instances may have open.
const PEER_CONNECTIONS: usize = 8192;

/// The largest head of another instance's request, in bytes.
const PEER_HEAD: usize = 8 * 1024;

/// The time between two looks at whether something has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// One running instance. Its tasks end when it is dropped.
pub struct Daemon<S, C>
where
    S: Store,
    C: Clock,
{
    node: Arc<Node<S, C>>,
    callers: Server,
    peers: Server,
    operators: Operators,
    tasks: Vec<Task<()>>,
}

impl<S, C> Daemon<S, C>
where
    S: Store,
    C: Clock,
{
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] and [`Error::Telemetry`].
    pub async fn open(settings: Settings, store: S, clock: C, log: Logger) -> Result<Self, Error> {
        let limits = settings.limits;
        let telemetry = Telemetry::open(&settings)?;
        let callers = Port::bind(settings.callers).await?;
        let peers = Port::bind(settings.peers).await?;
        let address = settings.advertise.unwrap_or(peers.address());
        let node = Node::new(settings, store, clock, log, address, telemetry);
        telemetry::observe(&node);
        let peers = Server::spawn(peers, peer_limits(), Peer(node.clone()));
        let operators = Operators::bind(node.settings.operators, &node)?;
        let callers = Server::spawn(callers, caller_limits(&limits), Caller(node.clone()));
        let ports = [
            ("callers", callers.connections()),
            ("peers", peers.connections()),
        ];
        telemetry::observe_connections(&node.telemetry.metrics, ports);
        let tasks = vec![
            smol::spawn(lease::run_heartbeats(node.clone())),
            smol::spawn(lease::run_roster_watch(node.clone())),
            smol::spawn(lease::run_planner(node.clone())),
            smol::spawn(owner::run_pools(node.clone())),
            smol::spawn(owner::run_takeovers(node.clone())),
            smol::spawn(owner::run_records(node.clone())),
            smol::spawn(entry::run_returns(node.clone())),
            smol::spawn(servers::run(node.clone())),
            smol::spawn(bundle::run(node.clone())),
            smol::spawn(claims::run(node.clone())),
            smol::spawn(moves::run(node.clone())),
        ];
        slog::info!(node.log, "daemon: started"; "name" => %node.me.name,
            "callers" => %callers.address(), "peers" => %node.me.address);
        Ok(Self {
            node,
            callers,
            peers,
            operators,
            tasks,
        })
    }

    /// Stops the instance without cutting a request. Returns whether all calls ended in time.
    ///
    /// The instance says that it is not ready. For the linger time it takes further calls and closes
    /// each connection after its answer; then it finishes the calls under way, leaves the roster and
    /// hands its pools over.
    pub async fn stop(self) -> bool {
        let node = &self.node;
        let times = node.settings.times;
        node.set_stopping();
        self.callers.linger();
        node.clock.sleep(times.linger).await;
        let ended = self.callers.stop(&node.clock, times.drain).await;
        // The instance leaves last: credits that it holds are reported to new owners for as long as
        // it is a member.
        node.leases.lock().leave();
        node.wake();
        self.wait_for_handover(times.lease).await;
        self.wait_for_returns().await;
        // Other instances may still ask for what they have not learned to be elsewhere.
        self.peers.stop(&node.clock, times.peer).await;
        for task in self.tasks {
            task.cancel().await;
        }
        node.telemetry.tracer.stop().await;
        ended
    }

    /// Waits until other instances act on the pools of this one, for at most `limit`.
    async fn wait_for_handover(&self, limit: Duration) {
        let node = &self.node;
        let deadline = node.now() + limit;
        while node.now() < deadline {
            let others = !node.leases.lock().is_member();
            if others && node.desks.lock().desks().next().is_none() {
                return;
            }
            node.clock.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until the credits that this instance held are on their way back.
    async fn wait_for_returns(&self) {
        let node = &self.node;
        let deadline = node.now() + node.settings.times.peer;
        while !node.outbox.is_empty() && node.now() < deadline {
            node.clock.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns what the tasks share.
    pub fn node(&self) -> &Arc<Node<S, C>> {
        &self.node
    }

    /// Returns where callers are answered.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where operators are answered.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns where other instances are answered.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }
}

fn caller_limits(limits: &settings::Limits) -> Limits {
    Limits {
        connections: limits.connections,
        head: limits.head,
        body: limits.request_body,
        idle: CALLER_IDLE,
    }
}

fn peer_limits() -> Limits {
    Limits {
        connections: PEER_CONNECTIONS,
        head: PEER_HEAD,
        body: wire::MAX_FRAME_BYTES,
        idle: PEER_IDLE,
    }
}
