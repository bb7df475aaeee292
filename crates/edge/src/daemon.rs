//! A running instance.

use std::sync::Arc;
use std::time::Duration;

use clock::{Clock, Instant};
use slog::Logger;
use smol::Task;

use crate::callers::Server;
use crate::duty::{self, NodeHost, NodeSource, Receiver};
use crate::gossip::{self, Message, Socket};
use crate::headers::Codec;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::settings::Settings;
use crate::store::Store;
use crate::usage::{self, Collected};
use crate::{prober, reader, ready, rollouts, sharing, sync, watchdog, Error};

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
    /// Starts an instance. `ready_path` is the path of the front balancer's readiness check. Usage is
    /// reported if there is a `receiver` and the settings have this duty.
    ///
    /// # Errors
    ///
    /// [`Error`] if a port cannot be bound or the metrics cannot be opened.
    pub async fn spawn<R>(
        settings: Settings,
        store: S,
        codec: H,
        clock: C,
        log: Logger,
        ready_path: &str,
        receiver: Option<R>,
    ) -> Result<Self, Error>
    where
        R: Receiver,
    {
        let socket = Socket::bind(settings.peers)?;
        let metrics = Metrics::open()?;
        let addresses = (settings.ready, settings.peers, settings.metrics);
        let node = Node::new(settings, store, codec, clock, log, metrics, socket);
        let node = Arc::new(node);
        let callers = Server::bind(&node).await?;
        let mut tasks = vec![
            ready::serve(addresses.0, ready::readiness(&node, ready_path))?,
            ready::serve(addresses.1, (sync::handler(&node), usage::handler(&node)))?,
            ready::serve(addresses.2, ready::metrics(&node))?,
            smol::spawn(gossip::run_receiver(node.clone())),
            smol::spawn(gossip::run_heartbeats(node.clone())),
            smol::spawn(gossip::events::run(node.clone())),
            smol::spawn(sync::run(node.clone())),
            smol::spawn(reader::run(node.clone())),
            smol::spawn(prober::run(node.clone())),
            smol::spawn(rollouts::run(node.clone())),
            smol::spawn(sharing::run(node.clone())),
            smol::spawn(watchdog::run(node.clone())),
            smol::spawn(usage::run_sender(node.clone())),
            smol::spawn(usage::run_writer(node.clone())),
            smol::spawn(prune(node.clone())),
        ];
        tasks.extend(receiver.and_then(|receiver| report_usage(&node, receiver)));
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

    /// Returns the usage of tenants in all data centres in `window`, as far as it is known. Takes about a
    /// second at most.
    pub async fn usage(&self, window: u64) -> Collected {
        usage::collect(&self.node, window).await
    }

    /// Stops the instance gracefully. Returns whether all requests completed within the grace
    /// period.
    ///
    /// The instance reports that it is not ready, and closes each connection after its response.
    /// Once callers are no longer routed here, it closes idle connections and waits for the rest.
    /// Requests that might not end in time are refused.
    pub async fn stop(mut self) -> bool {
        let node = &self.node;
        let started_at = node.now();
        let schedule = *node.begin_shutdown();
        slog::info!(node.log, "daemon: stopping"; "connections" => self.callers.open_connections());
        node.clock.sleep_until(schedule.close_idle_at).await;
        self.callers.close_idle();
        self.wait_for_callers(schedule.stop_accepting_at).await;
        // A request on a connection that is accepted from here on would be cut by the exit.
        self.callers.stop_accepting().await;
        self.wait_for_callers(schedule.exit_at).await;
        let node = &self.node;
        usage::flush(node);
        node.broadcast(&Message::Leave(node.identity.boot));
        let open = self.callers.open_connections();
        slog::info!(node.log, "daemon: stopped"; "connections" => open,
            "millis" => node.now().since(started_at).as_millis());
        open == 0
    }

    /// Waits until no connection of a caller is open, but no later than `deadline`.
    async fn wait_for_callers(&self, deadline: Instant) {
        let node = &self.node;
        while self.callers.open_connections() > 0 && node.now() < deadline {
            node.clock.sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

/// Takes part in the duty to report usage, if the settings have it.
fn report_usage<S, H, C, R>(node: &Arc<Node<S, H, C>>, receiver: R) -> Option<Task<()>>
where
    S: Store,
    H: Codec,
    C: Clock,
    R: Receiver,
{
    let settings = node.settings.load();
    let task = duty::Task {
        name: settings.name.clone(),
        settings: settings.usage.clone()?,
        store: node.store.clone(),
        receiver,
        source: NodeSource(node.clone()),
        host: NodeHost(node.clone()),
        clock: node.clock.clone(),
        log: node.log.clone(),
    };
    Some(smol::spawn(task.run()))
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
