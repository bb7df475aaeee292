//! Starts and stops one instance.
//!
//! A [`Daemon`] binds the ports for callers, other instances and operators, and runs the background
//! tasks of the other modules on a shared [`Node`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use platform::Store;
use slog::Logger;
use smol::Task;

use crate::node::Node;
use crate::operators::Operators;
use crate::server::{Limits, Port, Server};
use crate::settings::{self, Settings};
use crate::telemetry::{self, Telemetry};
use crate::{bundle, claims, entry, lease, moves, owner, peer, servers, Error};

/// The idle timeout of a caller's connection.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The idle timeout of another instance's connection.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum number of open connections from other instances.
const MAX_PEER_CONNECTIONS: usize = 8192;

/// The maximum size of the head of a request from another instance.
const MAX_PEER_HEAD_BYTES: usize = 8 * 1024;

/// The interval at which conditions are polled during shutdown.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// One running instance. Dropping it cancels its tasks.
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
    /// [`Error::Bind`] if a port cannot be bound, and [`Error::Telemetry`] if telemetry cannot be
    /// set up.
    pub async fn open(settings: Settings, store: S, clock: C, log: Logger) -> Result<Self, Error> {
        let limits = settings.limits;
        let telemetry = Telemetry::open(&settings)?;
        let callers = Port::bind(settings.callers).await?;
        let peers = Port::bind(settings.peers).await?;
        let address = settings.advertise.unwrap_or(peers.address());
        let node = Node::new(settings, store, clock, log, address, telemetry);
        telemetry::observe(&node);
        let peers = Server::spawn(peers, peer_limits(), peer::Handler(node.clone()));
        let operators = Operators::bind(node.settings.operators, &node)?;
        let callers = Server::spawn(
            callers,
            caller_limits(&limits),
            entry::Handler(node.clone()),
        );
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

    /// Shuts the instance down gracefully. Returns whether all calls ended in time.
    ///
    /// The instance reports that it is not ready. For the linger time it still accepts calls and
    /// closes each connection after its response. Then it finishes the calls in progress, leaves
    /// the roster and hands over its pools.
    pub async fn stop(self) -> bool {
        let node = &self.node;
        let times = node.settings.times;
        node.set_stopping();
        self.callers.disable_keep_alive();
        node.clock.sleep(times.linger).await;
        let ended = self.callers.stop(&node.clock, times.drain).await;
        // Leaves the roster only after the calls have ended: the credits that it holds are reported
        // to new owners only while it is a member.
        node.leases.lock().leave();
        node.wake_heartbeat();
        self.wait_for_handover(times.lease).await;
        self.wait_for_releases().await;
        // Other instances may still send requests for pools that they do not know to have moved.
        self.peers.stop(&node.clock, times.peer).await;
        for task in self.tasks {
            task.cancel().await;
        }
        node.telemetry.tracer.stop().await;
        ended
    }

    /// Waits for at most `timeout` until other instances have taken over the pools of this one.
    async fn wait_for_handover(&self, timeout: Duration) {
        let node = &self.node;
        let deadline = node.now() + timeout;
        while node.now() < deadline {
            let has_left = !node.leases.lock().is_member();
            if has_left && node.pools.lock().iter().next().is_none() {
                return;
            }
            node.clock.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until the credits that this instance held have been sent back to their owners.
    async fn wait_for_releases(&self) {
        let node = &self.node;
        let deadline = node.now() + node.settings.times.peer;
        while !node.outbox.is_empty() && node.now() < deadline {
            node.clock.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the state that the tasks share.
    pub fn node(&self) -> &Arc<Node<S, C>> {
        &self.node
    }

    /// Returns the address of the callers' port.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operators' port.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address of the peers' port.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }
}

fn caller_limits(limits: &settings::Limits) -> Limits {
    Limits {
        max_connections: limits.connections,
        max_head_bytes: limits.head,
        max_body_bytes: limits.request_body,
        idle_timeout: CALLER_IDLE_TIMEOUT,
    }
}

fn peer_limits() -> Limits {
    Limits {
        max_connections: MAX_PEER_CONNECTIONS,
        max_head_bytes: MAX_PEER_HEAD_BYTES,
        max_body_bytes: wire::MAX_FRAME_BYTES,
        idle_timeout: PEER_IDLE_TIMEOUT,
    }
}
