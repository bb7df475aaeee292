//! Sends probes to backend servers.

use std::sync::Arc;
use std::time::Duration;

use client::{Connection, Limits, Request};
use clock::Clock;
use contract::id;
use platform::Store;
use policy::credit::Credit;
use policy::feedback::{Feedback, Outcome};
use policy::probe::Task;
use wire::grant::Release;
use wire::Pool;

use super::Allocator;
use crate::node::Node;

/// The longest duration of a probe.
const TIME_LIMIT: Duration = Duration::from_secs(1);

/// The largest response to a probe.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The route named in the feedback of probes. No route of a bundle is looked up by it.
const ROUTE: &str = "probe";

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Sends the next probe that is due in `pool` and within its probe budget.
    pub(crate) fn send_probes(self: &Arc<Self>, pool: &Pool) {
        let task = self.with_pool(pool, |allocator, now| allocator.probe(now));
        if let Some(task) = task.flatten() {
            smol::spawn(probe(self.clone(), pool.clone(), task)).detach();
        }
    }

    /// Returns the host and the path for probes of `service`.
    fn probe_target(&self, service: &id::Service) -> Option<(String, String)> {
        let bundle = self.view.bundle();
        let service = bundle.services.iter().find(|s| s.name == *service)?;
        Some((service.hosts.first()?.clone(), service.probe_path.clone()))
    }
}

async fn probe<S, C>(node: Arc<Node<S, C>>, pool: Pool, task: Task)
where
    S: Store,
    C: Clock,
{
    let started = node.now();
    let outcome = send_probe(&node, &pool, &task.credit).await;
    node.telemetry.metrics.record_probe(&pool, outcome);
    let evidence = Feedback {
        outcome,
        latency: node.now() - started,
        start_id: None,
        route: id::Route::from(ROUTE),
        fingerprint: None,
        draining: false,
    };
    let entry = Release {
        credit: task.credit.id,
        feedback: Some(evidence),
    };
    let now = node.now();
    if let Some(allocator) = node.pools.lock().get(&pool) {
        allocator.release(&entry, now);
    }
    node.with_pool(&pool, Allocator::serve_queue);
}

async fn send_probe<S, C>(node: &Node<S, C>, pool: &Pool, credit: &Credit) -> Outcome
where
    S: Store,
    C: Clock,
{
    let target = node.probe_target(&pool.service);
    let (Some((host, path)), Some(address)) = (target, node.view.address(&credit.server)) else {
        return Outcome::Abandoned;
    };
    let exchange = async {
        let Ok(connection) = Connection::open(address).await else {
            return Outcome::Unreachable;
        };
        let request = Request {
            method: "GET",
            target: &path,
            host: &host,
            headers: &[],
            body: &[],
        };
        let limits = Limits {
            max_body_bytes: MAX_RESPONSE_BYTES,
            ..Limits::default()
        };
        match connection.exchange(&request, limits).await {
            Ok((answer, _)) if answer.status < 500 => Outcome::Answered,
            Ok(_) => Outcome::Failed,
            Err(error) if error.is_reset() => Outcome::Crashed,
            Err(_) => Outcome::Failed,
        }
    };
    let timeout = async {
        node.clock.sleep(TIME_LIMIT).await;
        Outcome::TimedOut
    };
    smol::future::or(exchange, timeout).await
}
