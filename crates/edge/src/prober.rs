//! Asks servers for their load when nobody has heard of them lately.
//!
//! Each server is asked by one instance of its data centre, which tells the others. An instance that
//! lost a connection to a server asks it itself before it sends another request.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use balance::query::Candidate;
use balance::server::Key;
use client::{Limits, Request};
use clock::{Clock, Instant};
use parking_lot::Mutex;

use crate::gossip::{self, Event};
use crate::headers::{Codec, ResponseMetadata};
use crate::node::Node;
use crate::store::Store;

/// The pause between two looks.
const INTERVAL: Duration = Duration::from_millis(20);

/// The age of a report after which its server is asked although no request needs it. The load of a
/// server on a shared machine changes within some hundred milliseconds.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// The requests after which a server is asked whether it has become cold: only probes tell, and the
/// reports in answers to requests make others needless. About as many more reach it by then.
const REQUESTS_PER_PROBE: u32 = 4;

/// The pause between two probes for that reason.
const TRIED_INTERVAL: Duration = Duration::from_millis(50);

/// The pause between two probes of a server that is cold, or that has to show that it is not.
const COLD_INTERVAL: Duration = Duration::from_millis(400);

/// The pause between two probes of a server that did not answer.
const DOUBT_INTERVAL: Duration = Duration::from_millis(150);

/// How long a probe may take.
const TIME_LIMIT: Duration = Duration::from_millis(500);

/// How long a connection for probes is kept.
const IDLE_FOR: Duration = Duration::from_secs(5);

/// How long after the last request of a service its servers are asked for their load.
const USED_FOR: Duration = Duration::from_secs(2);

/// The probes under way, and when each server was last probed.
#[derive(Debug)]
pub(crate) struct Probes(Mutex<State>);

#[derive(Debug)]
struct State {
    under_way: HashSet<Key>,
    last: HashMap<Key, Instant>,
    /// Services whose health endpoint says nothing of the load.
    silent: HashSet<String>,
    /// How long a probe takes, in seconds.
    time: f64,
}

impl Probes {
    /// Returns that no probe was made yet.
    pub(crate) fn new() -> Self {
        Self(Mutex::new(State {
            under_way: HashSet::new(),
            last: HashMap::new(),
            silent: HashSet::new(),
            time: FIRST_TIME,
        }))
    }

    /// Returns which of `candidates` are to be asked before a request is sent to the first of them:
    /// none if a probe takes longer than it is likely to save.
    pub(crate) fn worth_asking<F>(
        &self,
        service: &str,
        candidates: &[Candidate],
        is_connected: F,
    ) -> Vec<Key>
    where
        F: Fn(Key) -> bool,
    {
        let state = self.0.lock();
        let Some(best) = candidates.first() else {
            return Vec::new();
        };
        if state.silent.contains(service)
            || best.choice.staleness_penalty.as_secs_f64() <= state.time
        {
            return Vec::new();
        }
        // Among servers that are about as good, a new connection decides.
        let near = candidates
            .iter()
            .filter(|c| c.cost <= best.cost * NEARLY_AS_GOOD);
        let doubtful = near.filter(|c| c.choice.staleness_penalty.as_secs_f64() > state.time);
        let unasked = doubtful
            .map(|c| c.choice.key)
            .filter(|key| !state.under_way.contains(key));
        let mut unasked: Vec<Key> = unasked.collect();
        unasked.sort_by_key(|key| !is_connected(*key));
        unasked.truncate(ASKED);
        unasked
    }
}

/// The servers that are asked for one request before it is sent, at a time.
const ASKED: usize = 2;

/// The factor by which a server may cost more than the best one and still be as good, as far as
/// reports tell.
const NEARLY_AS_GOOD: f64 = 1.15;

/// The servers of a service in a data centre up to which each report may be [`REPORT_AGE`] old. Of
/// more servers as many reports a second are enough to know some that are fast.
const REPORTED_SERVERS: usize = 8;

/// The age that any report may reach.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// The average time of a probe before any was made, in seconds.
const FIRST_TIME: f64 = 0.007;

/// The weight of one probe in the average time.
const TIME_WEIGHT: f64 = 0.05;

/// Asks servers for their load.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        node.clock.sleep(INTERVAL).await;
        for key in due(&node, node.now()) {
            let node = node.clone();
            smol::spawn(async move { probe(&node, key).await }).detach();
        }
    }
}

/// Asks servers at the same time, and returns when all have answered or `limit` has passed. Probes
/// that are not answered by then go on.
pub(crate) async fn ask_all<S, H, C>(node: &Arc<Node<S, H, C>>, keys: &[Key], limit: Duration)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let mut probes: Vec<_> = keys
        .iter()
        .map(|key| {
            let (node, key) = (node.clone(), *key);
            smol::spawn(async move { probe(&node, key).await })
        })
        .collect();
    let all = async {
        for probe in &mut probes {
            probe.await;
        }
    };
    smol::future::or(all, node.clock.sleep(limit)).await;
    probes.into_iter().for_each(smol::Task::detach);
}

/// ResponseMetadata a probe as under way for as long as it lives.
struct UnderWay<'a> {
    probes: &'a Probes,
    key: Key,
}

impl<'a> UnderWay<'a> {
    /// Begins a probe, unless one is under way.
    fn begin(probes: &'a Probes, key: Key, now: Instant) -> Option<Self> {
        let mut state = probes.0.lock();
        if !state.under_way.insert(key) {
            return None;
        }
        state.last.insert(key, now);
        Some(Self { probes, key })
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.probes.0.lock().under_way.remove(&self.key);
    }
}

/// Returns the servers that this instance is to ask now.
fn due<S, H, C>(node: &Node<S, H, C>, now: Instant) -> Vec<Key>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let table = node.table.lock();
    let probes = node.probes.0.lock();
    let mut found = Vec::new();
    let mut sizes: HashMap<&str, usize> = HashMap::new();
    for (key, backend) in table.backends() {
        if table.is_exclusive(key, backend) {
            *sizes.entry(&backend.server.service).or_default() += 1;
        }
    }
    for (key, backend) in table.backends() {
        if probes.under_way.contains(&key) || !table.is_in_service(backend) {
            continue;
        }
        let last = probes
            .last
            .get(&key)
            .map_or(Duration::MAX, |at| now.since(*at));
        let mine = table.is_prober_of(key) || backend.in_flight_from(node.me.boot) > 0;
        let lent = table.lending.is_lent(key);
        let is_due = if backend.needs_probe {
            (mine || backend.needs_local_probe) && last >= DOUBT_INTERVAL
        } else if table.is_prober_of(key) && (lent || table.is_exclusive(key, backend)) {
            let used = node.waiting.used(&backend.server.service, USED_FOR, now);
            let silent = probes.silent.contains(&backend.server.service);
            // The borrower asks for itself; the lender only has to know that the server lives.
            let age = if lent {
                MAX_REPORT_AGE
            } else {
                report_age(sizes.get(backend.server.service.as_str()).copied())
            };
            let pause = if backend.is_cold(now) {
                COLD_INTERVAL
            } else {
                age
            };
            let is_old = backend
                .report_age(now)
                .is_none_or(|reported| reported >= age);
            let is_tried =
                backend.started_since_probe() >= REQUESTS_PER_PROBE && last >= TRIED_INTERVAL;
            used && (!silent && last >= pause && is_old || is_tried && !backend.is_cold(now))
        } else {
            false
        };
        if is_due {
            found.push(key);
        }
    }
    found
}

/// Returns the age that a report may reach where a service has `servers` in the data centre.
fn report_age(servers: Option<usize>) -> Duration {
    let times = servers.unwrap_or(0).div_ceil(REPORTED_SERVERS).max(1);
    let age = REPORT_AGE * u32::try_from(times).unwrap_or(u32::MAX);
    age.min(MAX_REPORT_AGE)
}

async fn probe<S, H, C>(node: &Node<S, H, C>, key: Key)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let began = node.now();
    let Some(_under_way) = UnderWay::begin(&node.probes, key, began) else {
        return;
    };
    let timeout = async {
        node.clock.sleep(TIME_LIMIT).await;
        None
    };
    let answer = smol::future::or(ask(node, key), timeout).await;
    let Some((id, marks)) = answer else {
        return unanswered(node, key, "unanswered");
    };
    if marks.server_id.as_ref().is_some_and(|server| *server != id) {
        // Another server has the address.
        return unanswered(node, key, "misdirected");
    }
    answered(node, key, &marks, began);
}

fn unanswered<S, H, C>(node: &Node<S, H, C>, key: Key, end: &'static str)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    node.metrics.probe(end);
    let mut table = node.table.lock();
    let Some(backend) = table.get_mut(key) else {
        return;
    };
    backend.record_connection_failure(false, now);
    backend.record_unreachable(node.me.boot, now);
    if let Some(suppressed) = node.limits.probes.pass(now) {
        slog::info!(node.log, "prober: a server is out of reach"; "server" => &backend.server.id,
            "end" => end, "suppressed" => suppressed);
    }
    let event = Event {
        end: Some(gossip::End::Unreached),
        ..Event::held(key, backend.in_flight_from(node.me.boot))
    };
    drop(table);
    node.announce(event);
}

fn answered<S, H, C>(node: &Node<S, H, C>, key: Key, marks: &ResponseMetadata, began: Instant)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    node.metrics.probe("answered");
    let (held, warmup_left, service) = {
        let mut table = node.table.lock();
        if let Some(report) = marks.report {
            table.record_report(key, report, now);
        }
        let Some(backend) = table.get_mut(key) else {
            return;
        };
        let warmup_left = marks
            .warmup_left
            .unwrap_or_else(|| backend.warmup_left(now));
        backend.record_probe(warmup_left, now);
        (
            backend.in_flight_from(node.me.boot),
            warmup_left,
            backend.server.service.clone(),
        )
    };
    {
        let mut probes = node.probes.0.lock();
        let took = now.since(began).as_secs_f64();
        probes.time += (took - probes.time) * TIME_WEIGHT;
        if marks.report.is_none() {
            probes.silent.insert(service);
        }
    }
    node.announce(Event {
        server: key,
        held,
        report: marks.report,
        end: None,
        warmup_left: Some(warmup_left),
    });
}

/// Asks the server. Returns its id and what its headers say, whatever it thinks of its health: that is not
/// to be relied on.
async fn ask<S, H, C>(node: &Node<S, H, C>, key: Key) -> Option<(String, ResponseMetadata)>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let (address, service, id) = {
        let table = node.table.lock();
        let server = &table.get(key)?.server;
        (server.address, server.service.clone(), server.id.clone())
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
    let exchange = connection
        .exchange_matching(&request, limits, |_| true)
        .await
        .ok()?;
    if let Some(connection) = exchange.connection {
        node.keep(address, connection, exchange.keep_alive_timeout);
    }
    Some((id, node.codec.parse_response(&exchange.response.headers)))
}
