//! Asks servers for their load when nobody has heard of them lately.
//!
//! Each server is asked by one instance of its data centre, which tells the others. An instance that
//! lost a connection to a server asks it itself before it sends another request.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use balance::backend::Backend;
use balance::server::Key;
use client::{Limits, Request};
use clock::{Clock, Instant};
use parking_lot::Mutex;

use crate::dialect::Dialect;
use crate::gossip::Event;
use crate::node::Node;
use crate::store::Store;

/// The pause between two looks.
const INTERVAL: Duration = Duration::from_millis(20);

/// The age of a report after which its server is asked. The load of a server on a shared machine
/// changes within some hundred milliseconds.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// The pause between two probes of a server that is cold, or that has to show that it is not.
const COLD_INTERVAL: Duration = Duration::from_millis(400);

/// The pause between two probes of a server that did not answer.
const DOUBT_INTERVAL: Duration = Duration::from_millis(250);

/// How long a probe may take.
const TIME_LIMIT: Duration = Duration::from_millis(500);

/// How long a connection for probes is kept.
const IDLE_FOR: Duration = Duration::from_secs(5);

/// How long after the last request of a service its servers are asked for their load.
const USED_FOR: Duration = Duration::from_secs(2);

/// The probes under way, and when each server was last probed.
#[derive(Debug, Default)]
struct Probes {
    under_way: HashSet<Key>,
    last: std::collections::HashMap<Key, Instant>,
    /// Services whose health endpoint says nothing of the load.
    silent: HashSet<String>,
}

/// Asks servers for their load.
pub(crate) async fn run<S, D, C>(node: Arc<Node<S, D, C>>)
where
    S: Store,
    D: Dialect,
    C: Clock,
{
    let probes: Arc<Mutex<Probes>> = Arc::default();
    loop {
        node.clock.sleep(INTERVAL).await;
        let now = node.now();
        let found = due(&node, &probes.lock(), now);
        for (key, id) in found {
            let mut state = probes.lock();
            if !state.under_way.insert(key) {
                continue;
            }
            state.last.insert(key, now);
            let (node, probes) = (node.clone(), probes.clone());
            smol::spawn(async move {
                probe(&node, key, &id, &probes).await;
                probes.lock().under_way.remove(&key);
            })
            .detach();
        }
    }
}

/// Returns the servers that this instance is to ask now, with their ids.
fn due<S, D, C>(node: &Node<S, D, C>, probes: &Probes, now: Instant) -> Vec<(Key, String)>
where
    S: Store,
    D: Dialect,
    C: Clock,
{
    let table = node.table.lock();
    let mut found = Vec::new();
    for (key, backend) in table.backends() {
        if probes.under_way.contains(&key) || !table.is_open(backend) {
            continue;
        }
        let last = probes
            .last
            .get(&key)
            .map_or(Duration::MAX, |at| now.since(*at));
        let mine = table.is_fed(key) || backend.held_by(node.me.boot) > 0;
        let is_due = if backend.suspect {
            (mine || backend.doubted_here) && last >= DOUBT_INTERVAL
        } else if table.is_fed(key) {
            let used = node.waiting.used(&backend.server.service, USED_FOR, now);
            let silent = probes.silent.contains(&backend.server.service);
            used && !silent && last >= interval(backend, now) && is_old(backend, now)
        } else {
            false
        };
        if is_due {
            found.push((key, backend.server.id.clone()));
        }
    }
    found
}

fn interval(backend: &Backend, now: Instant) -> Duration {
    if backend.is_cold(now) {
        COLD_INTERVAL
    } else {
        REPORT_AGE
    }
}

fn is_old(backend: &Backend, now: Instant) -> bool {
    backend.report_age(now).is_none_or(|age| age >= REPORT_AGE)
}

async fn probe<S, D, C>(node: &Node<S, D, C>, key: Key, id: &str, probes: &Mutex<Probes>)
where
    S: Store,
    D: Dialect,
    C: Clock,
{
    let timeout = async {
        node.clock.sleep(TIME_LIMIT).await;
        None
    };
    let marks = smol::future::or(ask(node, key), timeout).await;
    let now = node.now();
    let Some(marks) = marks else {
        node.metrics.probe("unanswered");
        if let Some(backend) = node.table.lock().get_mut(key) {
            backend.lost(false, now);
        }
        if let Some(suppressed) = node.limits.probes.pass(now) {
            slog::info!(node.log, "prober: a server did not answer"; "server" => id,
                "suppressed" => suppressed);
        }
        return;
    };
    if marks.server.as_deref().is_some_and(|server| server != id) {
        // Another server has the address.
        node.metrics.probe("misdirected");
        if let Some(backend) = node.table.lock().get_mut(key) {
            backend.lost(false, now);
        }
        return;
    }
    node.metrics.probe("answered");
    let (held, warmup_left, silent) = {
        let mut table = node.table.lock();
        if let Some(report) = marks.report {
            table.report(key, report, now);
        }
        let Some(backend) = table.get_mut(key) else {
            return;
        };
        let silent = marks
            .report
            .is_none()
            .then(|| backend.server.service.clone());
        let warmup_left = marks
            .warmup_left
            .unwrap_or_else(|| backend.warmup_left(now));
        backend.probed(warmup_left, now);
        (backend.held_by(node.me.boot), warmup_left, silent)
    };
    probes.lock().silent.extend(silent);
    node.announce(Event {
        server: key,
        held,
        report: marks.report,
        end: None,
        warmup_left: Some(warmup_left),
    });
}

/// Asks the server. Returns what its headers say, whatever it thinks of its health: that is not
/// to be relied on.
async fn ask<S, D, C>(node: &Node<S, D, C>, key: Key) -> Option<crate::dialect::Marks>
where
    S: Store,
    D: Dialect,
    C: Clock,
{
    let (address, service) = {
        let table = node.table.lock();
        let server = &table.get(key)?.server;
        (server.address, server.service.clone())
    };
    let path = {
        let config = node.config.load();
        let found = config.as_ref().and_then(|c| c.services.get(&service));
        found?.health_path.clone()
    };
    let host = address.to_string();
    let request = Request {
        method: "GET",
        target: &path,
        host: &host,
        headers: &[],
        body: &[],
    };
    let connection = node.idle.take(address, IDLE_FOR).await.ok()?;
    let limits = Limits::default();
    let exchange = connection.converse(&request, limits, |_| true).await.ok()?;
    if let Some(connection) = exchange.connection {
        node.keep(address, connection, exchange.idle_time);
    }
    Some(node.dialect.marks(&exchange.answer.headers))
}
