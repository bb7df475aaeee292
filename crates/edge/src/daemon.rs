//! One running instance.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use slog::Logger;
use smol::Task;

use crate::callers::Server;
use crate::gossip::{self, Message, Port};
use crate::headers::Codec;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::settings::Settings;
use crate::store::Store;
use crate::{moves, prober, reader, ready, sync, watchdog, Error};

/// How long after the request to stop callers may still be sent here: the balancer in front asks
/// once a second and believes the second refusal.
const LINGER: Duration = Duration::from_millis(3000);

/// What is left of the time to stop when the process ends in any case.
const RESERVE: Duration = Duration::from_millis(800);

/// The pause between two looks at whether all requests have ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// The pause between two looks for idle connections to servers that are to be closed.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);

/// The longest that a connection to a server stays idle.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// One running instance. Its tasks end when it is dropped.
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
    /// Starts an instance. `ready_path` is where the balancer in front asks for readiness.
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
        let port = Port::bind(settings.peers)?;
        let metrics = Metrics::open()?;
        let addresses = (settings.ready, settings.peers, settings.metrics);
        let node = Node::new(settings, store, codec, clock, log, metrics, port);
        let node = Arc::new(node);
        let callers = Server::bind(&node).await?;
        let tasks = vec![
            ready::serve(addresses.0, ready::readiness(&node, ready_path))?,
            ready::serve(addresses.1, sync::handler(&node))?,
            ready::serve(addresses.2, ready::metrics(&node))?,
            smol::spawn(gossip::run_receiver(node.clone())),
            smol::spawn(gossip::run_beats(node.clone())),
            smol::spawn(gossip::events::run(node.clone())),
            smol::spawn(sync::run(node.clone())),
            smol::spawn(reader::run(node.clone())),
            smol::spawn(prober::run(node.clone())),
            smol::spawn(moves::run(node.clone())),
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

    /// Takes changed settings. Addresses stay as they are until the next start.
    pub fn reload(&self, settings: Settings) {
        let node = &self.node;
        if **node.settings.load() == settings {
            return;
        }
        slog::info!(node.log, "daemon: settings changed"; "seeds" => ?settings.seeds);
        node.settings.store(settings.into());
    }

    /// Stops the instance without cutting a request. Returns whether all requests ended in time.
    ///
    /// The instance says that it is not ready, and closes each connection after its answer. Once no
    /// more callers can be sent here it closes idle connections and waits for the rest.
    pub async fn stop(self) -> bool {
        let node = &self.node;
        let grace = node.settings.load().bounds.grace;
        let began = node.now();
        node.set_stopping();
        slog::info!(node.log, "daemon: stopping"; "connections" => self.callers.open());
        node.clock.sleep(LINGER.min(grace / 2)).await;
        self.callers.close_idle();
        let deadline = began + grace.saturating_sub(RESERVE);
        while self.callers.open() > 0 && node.now() < deadline {
            node.clock.sleep(LOOK_INTERVAL).await;
        }
        node.tell(&Message::Leave(node.me.boot));
        let ended = self.callers.open() == 0;
        slog::info!(node.log, "daemon: stopped"; "all ended" => ended,
            "millis" => node.now().since(began).as_millis());
        ended
    }
}

/// Closes connections to servers before the servers do.
async fn prune<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        node.clock.sleep(PRUNE_INTERVAL).await;
        node.idle.prune(MAX_IDLE);
    }
}
