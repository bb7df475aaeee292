//! A running instance.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use slog::Logger;
use smol::Task;

use crate::callers::Server;
use crate::gossip::{self, Message, Socket};
use crate::headers::Codec;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::settings::Settings;
use crate::store::Store;
use crate::{prober, reader, ready, rollouts, sync, watchdog, Error};

/// How long after a request to stop callers may still be routed here: the front balancer checks
/// readiness once a second and acts on the second failure.
const FRONT_REACTION_TIME: Duration = Duration::from_millis(3000);

/// The part of the grace period that is reserved for the process to exit.
const EXIT_RESERVE: Duration = Duration::from_millis(800);

/// The interval between two checks for open connections while draining.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which expired idle connections to servers are closed.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);

/// The longest idle time of a connection to a server.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(30);

/// A running instance. Its tasks end when it is dropped.
pub struct Daemon<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    node: Arc<Node<S, H, C>>,
    callers: Server,
    _tasks: Vec<Task<()>>,
}

impl<S, H, C> Daemon<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Starts an instance. `ready_path` is the path of the front balancer's readiness check.
    ///
    /// # Errors
    ///
    /// [`Error`] if a port cannot be bound or the metrics cannot be opened.
    pub async fn start(
        settings: Settings,
        store: S,
        codec: H,
        clock: C,
        log: Logger,
        ready_path: &str,
    ) -> Result<Self, Error> {
        let socket = Socket::bind(settings.peers)?;
        let metrics = Metrics::open()?;
        let addresses = (settings.ready, settings.peers, settings.metrics);
        let node = Node::new(settings, store, codec, clock, log, metrics, socket);
        let node = Arc::new(node);
        let callers = Server::bind(&node).await?;
        let tasks = vec![
            ready::serve(addresses.0, ready::readiness(&node, ready_path))?,
            ready::serve(addresses.1, sync::handler(&node))?,
            ready::serve(addresses.2, ready::metrics(&node))?,
            smol::spawn(gossip::run_receiver(node.clone())),
            smol::spawn(gossip::run_heartbeats(node.clone())),
            smol::spawn(gossip::events::run(node.clone())),
            smol::spawn(sync::run(node.clone())),
            smol::spawn(reader::run(node.clone())),
            smol::spawn(prober::run(node.clone())),
            smol::spawn(rollouts::run(node.clone())),
            smol::spawn(watchdog::run(node.clone())),
            smol::spawn(prune(node.clone())),
        ];
        {
            let settings = node.settings.load();
            slog::info!(node.log, "daemon: started"; "centre" => &settings.centre,
                "callers" => %settings.callers, "peers" => %settings.peers,
                "metrics" => %settings.metrics);
        }
        Ok(Self {
            node,
            callers,
            _tasks: tasks,
        })
    }

    /// Applies changed settings. Changed listen addresses take effect at the next start.
    pub fn reload(&self, settings: Settings) {
        let node = &self.node;
        if **node.settings.load() == settings {
            return;
        }
        slog::info!(node.log, "daemon: settings changed"; "seeds" => ?settings.seeds);
        node.settings.store(settings.into());
    }

    /// Stops the instance gracefully. Returns whether all requests completed within the grace
    /// period.
    ///
    /// The instance reports that it is not ready, and closes each connection after its response.
    /// Once callers are no longer routed here, it closes idle connections and waits for the rest.
    pub async fn stop(self) -> bool {
        let node = &self.node;
        let grace = node.settings.load().bounds.grace;
        let started_at = node.now();
        node.set_stopping();
        slog::info!(node.log, "daemon: stopping"; "connections" => self.callers.open_connections());
        node.clock.sleep(FRONT_REACTION_TIME.min(grace / 2)).await;
        self.callers.close_idle();
        let deadline = started_at + grace.saturating_sub(EXIT_RESERVE);
        while self.callers.open_connections() > 0 && node.now() < deadline {
            node.clock.sleep(DRAIN_CHECK_INTERVAL).await;
        }
        node.broadcast(&Message::Leave(node.identity.boot));
        let all_ended = self.callers.open_connections() == 0;
        slog::info!(node.log, "daemon: stopped"; "all closed" => all_ended,
            "millis" => node.now().since(started_at).as_millis());
        all_ended
    }
}

/// Closes idle connections to servers before the servers do.
async fn prune<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        node.clock.sleep(PRUNE_INTERVAL).await;
        node.idle.prune(MAX_CONNECTION_IDLE);
    }
}
