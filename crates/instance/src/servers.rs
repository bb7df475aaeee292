//! Follows the platform's lists.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use contract::id;
use platform::Store;

use crate::node::Node;

/// The time between two reads of the lists.
const INTERVAL: Duration = Duration::from_millis(500);

/// Follows the lists of backend servers and of instances. In an outage the last lists stay.
pub(crate) async fn run<S, C>(node: Arc<Node<S, C>>)
where
    S: Store,
    C: Clock,
{
    loop {
        match node.store.servers().await {
            Ok(servers) => {
                if node.alarms.servers.clear() {
                    slog::info!(node.log, "servers: the list can be read again");
                }
                if node.view.set_servers(servers) {
                    node.refresh_pools();
                }
            }
            Err(e) if node.alarms.servers.raise() => {
                slog::warn!(node.log, "servers: the list cannot be read"; "reason" => %e);
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
