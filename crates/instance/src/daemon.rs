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
use crate::server::{Limits, Port, Server};
use crate::settings::{self, Settings};
use crate::{bundle, lease, owner, servers, Error};

/// How long a caller's connection may be silent.
const CALLER_IDLE: Duration = Duration::from_secs(60);

/// How long another instance's connection may be silent.
const PEER_IDLE: Duration = Duration::from_secs(30);

/// The connections that other instances may have open.
const PEER_CONNECTIONS: usize = 8192;

/// The largest head of another instance's request, in bytes.
const PEER_HEAD: usize = 8 * 1024;

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
    pub async fn open(settings: Settings, store: S, clock: C, log: Logger) -> Result<Self, Error> {
        let limits = settings.limits;
        let callers = Port::bind(settings.callers).await?;
        let peers = Port::bind(settings.peers).await?;
        let address = settings.advertise.unwrap_or(peers.address());
        let node = Node::new(settings, store, clock, log, address);
        let peers = Server::spawn(peers, peer_limits(), Peer(node.clone()));
        let callers = Server::spawn(callers, caller_limits(&limits), Caller(node.clone()));
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
        Ok(Self {
            node,
            callers,
            peers,
            tasks,
        })
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
        body: wire::MAX_SIZE,
        idle: PEER_IDLE,
    }
}
