//! Polls the platform's lists of backend servers and instances.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use contract::id;
use platform::Store;

use crate::node::Node;

/// The interval at which the lists are read.
const INTERVAL: Duration = Duration::from_millis(500);

/// Polls the lists of backend servers and instances. During an outage the last lists stay in use.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        match node.store.servers().await {
            Ok(servers) => {
                if node.alarms.servers.clear() {
                    slog::info!(node.log, "servers: the list is readable again");
                }
                if node.view.set_servers(servers) {
                    node.refresh_pools();
                }
            }
            Err(e) if node.alarms.servers.raise() => {
                slog::warn!(node.log, "servers: failed to read the list"; "reason" => %e);
            }
            Err(_) => {}
        }
        if let Ok(instances) = node.store.instances().await {
            let names: Vec<id::Instance> = instances.into_iter().map(|i| i.name).collect();
            node.leases.lock().record_platform_list(&names, node.now());
        }
        node.clock.sleep(INTERVAL).await;
    }
}
