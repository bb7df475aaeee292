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
use crate::peer::Peer;
use crate::server::{Limits, Server};
use crate::settings::Settings;
use crate::{bundle, lease, owner, servers, Error};

/// How long a caller's connection may be silent.
const CALLER_IDLE: Duration = Duration::from_secs(60);

/// How long another instance's connection may be silent.
const PEER_IDLE: Duration = Duration::from_secs(30);

/// The connections that other instances may have open.
const PEER_CONNECTIONS: usize = 8192;

/// One running instance. Its tasks end when it is dropped.
pub struct Daemon<S, C>
where
    S: Store,
    C: Clock,
{
    node: Arc<Node<S, C>>,
    callers: Server,
    peers: Server,
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
    /// [`Error::Bind`].
    pub async fn open(
        settings: Settings,
        store: S,
        clock: C,
        log: Logger,
    ) -> Result<Self, Error> {
        let limits = settings.limits;
        // The address that others are told is known only once the port is bound.
        let (peers, handler) = Deferred::bind(settings.peers).await?;
        let address = settings.advertise.unwrap_or(peers.address());
        let callers_address = settings.callers;
        let node = Node::new(settings, store, clock, log, address);
        handler.set(Peer(node.clone()));
        let caller_limits = Limits {
            connections: limits.connections,
            head: limits.head,
            body: limits.request_body,
            idle: CALLER_IDLE,
        };
        let callers = Server::bind(callers_address, caller_limits, Caller(node.clone())).await?;
        let tasks = vec![
            smol::spawn(lease::run_heartbeats(node.clone())),
            smol::spawn(lease::run_roster_watch(node.clone())),
            smol::spawn(lease::run_planner(node.clone())),
            smol::spawn(owner::run_pools(node.clone())),
            smol::spawn(owner::run_takeovers(node.clone())),
            smol::spawn(entry::run_returns(node.clone())),
            smol::spawn(servers::run(node.clone())),
            smol::spawn(bundle::run(node.clone())),
        ];
        slog::info!(node.log, "daemon: started"; "name" => %node.me.name,
            "callers" => %callers.address(), "peers" => %node.me.address);
        Ok(Self { node, callers, peers, tasks })
    }

    /// Returns what the tasks share.
    pub fn node(&self) -> &Arc<Node<S, C>> {
        &self.node
    }

    /// Returns where callers are answered.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where other instances are answered.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }
}
