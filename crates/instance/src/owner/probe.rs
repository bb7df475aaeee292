//! Probes of backend servers.

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

use super::Desk;
use crate::node::Node;

/// How long a probe may take.
const TIME_LIMIT: Duration = Duration::from_secs(1);

/// The largest answer to a probe, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// The name under which probes stand in evidence. No route of a bundle is asked by it.
const ROUTE: &str = "probe";

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Sends the probes that `pool` wants now and its budget allows.
    pub(crate) fn send_probes(self: &Arc<Self>, pool: &Pool) {
        let order = self.with_desk(pool, |desk, now| desk.probe(now));
        if let Some(order) = order.flatten() {
            smol::spawn(probe(self.clone(), pool.clone(), order)).detach();
        }
    }

    /// Returns the host and the path that probes of `service` ask for.
    fn probe_target(&self, service: &id::Service) -> Option<(String, String)> {
        let bundle = self.view.bundle();
        let service = bundle.services.iter().find(|s| s.name == *service)?;
        Some((service.hosts.first()?.clone(), service.probe_path.clone()))
    }
}

async fn probe<S, C>(node: Arc<Node<S, C>>, pool: Pool, order: Task)
where
    S: Store,
    C: Clock,
{
    let started = node.now();
    let outcome = ask(&node, &pool, &order.credit).await;
    node.telemetry.metrics.probe(&pool, outcome);
    let evidence = Feedback {
        outcome,
        latency: node.now() - started,
        start_id: None,
        route: id::Route::from(ROUTE),
        fingerprint: None,
        draining: false,
    };
    let entry = Release {
        credit: order.credit.id,
        feedback: Some(evidence),
    };
    let now = node.now();
    if let Some(desk) = node.desks.lock().get(&pool) {
        desk.give_back(&entry, now);
    }
    node.with_desk(&pool, Desk::pump);
}

async fn ask<S, C>(node: &Node<S, C>, pool: &Pool, credit: &Credit) -> Outcome
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
            max_body_bytes: MAX_ANSWER,
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
