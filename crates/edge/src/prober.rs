//! Probes the health endpoint of servers for their load when no recent report is available.
//!
//! Each server is probed by one instance of its data centre, which publishes the result to the
//! others. An instance whose connection to a server failed probes it itself before it sends another
//! request.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use balance::query::Candidate;
use balance::server::Key;
use client::{Limits, Request, Response};
use clock::{Clock, Instant};
use parking_lot::Mutex;

use crate::gossip::{self, Event};
use crate::headers::{Codec, ResponseMetadata};
use crate::node::Node;
use crate::store::Store;

/// The interval between two checks for due probes, and in a data centre that is divided into groups,
/// where probes are rarer.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const DIVIDED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The age of a load report at which the server is probed even if no request needs it. The load of
/// a server on a shared machine changes within a few hundred milliseconds.
const REPORT_TTL: Duration = Duration::from_millis(100);

/// The number of requests after which a server is probed for a cold start. Only probes report one,
/// and frequent reports in responses would otherwise suppress them. About as many more requests
/// reach the server before the probe completes.
const REQUESTS_PER_PROBE: u32 = 4;

/// The minimum interval between two probes for that reason.
const ACTIVE_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between probes of a server that is cold or not yet known to be warm.
const COLD_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// The interval between probes of a server that did not respond.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest idle time of a connection used for a probe.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(5);

/// How long after the last request for a service its servers are still probed.
const ACTIVE_SERVICE_WINDOW: Duration = Duration::from_secs(2);

/// Probes in flight, and when each server was last probed.
#[derive(Debug)]
pub(crate) struct Probes(Mutex<State>);

#[derive(Debug)]
struct State {
    in_flight: HashSet<Key>,
    last: HashMap<Key, Instant>,
    /// Services whose health endpoint does not report load.
    without_reports: HashSet<String>,
    /// The average duration of a probe, in seconds.
    mean_seconds: f64,
}

impl Probes {
    /// Returns the state before the first probe.
    pub(crate) fn new() -> Self {
        Self(Mutex::new(State {
            in_flight: HashSet::new(),
            last: HashMap::new(),
            without_reports: HashSet::new(),
            mean_seconds: INITIAL_PROBE_SECONDS,
        }))
    }

    /// Returns which of `candidates` to probe before a request is sent to the first of them; none
    /// if a probe takes longer than it is likely to save.
    pub(crate) fn worth_probing<F>(
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
        if state.without_reports.contains(service)
            || best.choice.staleness_penalty.as_secs_f64() <= state.mean_seconds
        {
            return Vec::new();
        }
        // Among servers of similar cost, prefer those to which a connection is open.
        let similar = candidates
            .iter()
            .filter(|c| c.cost <= best.cost * SIMILAR_COST_FACTOR);
        let uncertain =
            similar.filter(|c| c.choice.staleness_penalty.as_secs_f64() > state.mean_seconds);
        let keys = uncertain
            .map(|c| c.choice.key)
            .filter(|key| !state.in_flight.contains(key));
        let mut keys: Vec<Key> = keys.collect();
        keys.sort_by_key(|key| !is_connected(*key));
        keys.truncate(MAX_PROBES_AT_ONCE);
        keys
    }
}

/// The most servers that one request probes at once.
const MAX_PROBES_AT_ONCE: usize = 2;

/// The factor on the best server's cost within which another server counts as equally good, given
/// the precision of reports.
const SIMILAR_COST_FACTOR: f64 = 1.15;

/// The number of servers of a service in a data centre for which reports are kept within
/// [`REPORT_TTL`]. With more servers the rate of probes stays the same: it suffices to know some
/// servers that are fast.
const SERVERS_PER_REPORT_TTL: usize = 8;

/// The upper bound of the age of reports, however many servers there are.
const MAX_REPORT_TTL: Duration = Duration::from_millis(500);

/// The average duration assumed before the first probe, in seconds.
const INITIAL_PROBE_SECONDS: f64 = 0.007;

/// The weight of one probe in the moving average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Starts probes as they become due.
pub(crate) async fn run<S, H, C>(node: Arc<Node<S, H, C>>)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        let interval = if node.is_divided() {
            DIVIDED_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        node.clock.sleep(interval).await;
        for key in due(&node, node.now()) {
            let node = node.clone();
            smol::spawn(async move { probe(&node, key).await }).detach();
        }
    }
}

/// Probes servers concurrently. Returns when all have responded or `limit` has passed; the
/// remaining probes continue in the background.
pub(crate) async fn probe_all<S, H, C>(node: &Arc<Node<S, H, C>>, keys: &[Key], limit: Duration)
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

/// Marks a probe as in flight until dropped.
struct ProbeGuard<'a> {
    probes: &'a Probes,
    key: Key,
}

impl<'a> ProbeGuard<'a> {
    /// Starts a probe unless one is in flight.
    fn begin(probes: &'a Probes, key: Key, now: Instant) -> Option<Self> {
        let mut state = probes.0.lock();
        if !state.in_flight.insert(key) {
            return None;
        }
        state.last.insert(key, now);
        Some(Self { probes, key })
    }
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.probes.0.lock().in_flight.remove(&self.key);
    }
}

/// Returns the servers for which a probe by this instance is due.
fn due<S, H, C>(node: &Node<S, H, C>, now: Instant) -> Vec<Key>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let table = node.table.lock();
    let probes = node.probes.0.lock();
    let duties = table.duties();
    let mut due = Vec::new();
    let suspects = table
        .backends()
        .filter(|(key, backend)| backend.needs_probe && !duties.is_prober_of(*key))
        .map(|(key, _)| key);
    for key in duties.probed().chain(suspects) {
        let Some(backend) = table.get(key) else {
            continue;
        };
        if probes.in_flight.contains(&key)
            || !table.is_in_service(key, backend)
            || table.opens_at(key, now).is_some()
        {
            continue;
        }
        let last = probes
            .last
            .get(&key)
            .map_or(Duration::MAX, |at| now.since(*at));
        let is_relevant =
            duties.is_prober_of(key) || backend.in_flight_from(node.identity.boot) > 0;
        let lent = table.lending.is_lent(key);
        let is_due = if backend.needs_probe {
            (is_relevant || backend.needs_local_probe) && last >= SUSPECT_PROBE_INTERVAL
        } else if duties.is_prober_of(key) && (lent || table.is_exclusive(key, backend)) {
            let service_active =
                node.queues
                    .is_active(&backend.server.service, ACTIVE_SERVICE_WINDOW, now);
            let without_reports = probes.without_reports.contains(&backend.server.service);
            // The borrower probes for load itself; the lender only checks that the server is alive.
            // In a divided data centre many instances are told of each probe for few requests.
            let is_limited = table.limit(key).is_some();
            let ttl = if lent || duties.is_divided() || is_limited {
                MAX_REPORT_TTL
            } else {
                report_ttl(duties.exclusive_servers(&backend.server.service))
            };
            let pause = if backend.is_cold(now) {
                COLD_PROBE_INTERVAL
            } else {
                ttl
            };
            let is_stale = backend
                .report_age(now)
                .is_none_or(|reported| reported >= ttl);
            let is_active = backend.started_since_probe() >= REQUESTS_PER_PROBE
                && last >= ACTIVE_PROBE_INTERVAL;
            service_active
                && (!without_reports && last >= pause && is_stale
                    || is_active && !backend.is_cold(now))
        } else {
            false
        };
        if is_due {
            due.push(key);
        }
    }
    due
}

/// Returns the age up to which reports are valid for a service with `servers` in the data centre.
fn report_ttl(servers: usize) -> Duration {
    let factor = servers.div_ceil(SERVERS_PER_REPORT_TTL).max(1);
    let ttl = REPORT_TTL * u32::try_from(factor).unwrap_or(u32::MAX);
    ttl.min(MAX_REPORT_TTL)
}

async fn probe<S, H, C>(node: &Node<S, H, C>, key: Key)
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let started_at = node.now();
    let Some(_guard) = ProbeGuard::begin(&node.probes, key, started_at) else {
        return;
    };
    let timeout = async {
        node.clock.sleep(PROBE_TIMEOUT).await;
        None
    };
    let response = smol::future::or(send_probe(node, key), timeout).await;
    let Some((id, metadata)) = response else {
        return record_failure(node, key, "unanswered", started_at);
    };
    if metadata
        .server_id
        .as_ref()
        .is_some_and(|server| *server != id)
    {
        // The address now belongs to another server.
        return record_failure(node, key, "misdirected", started_at);
    }
    record_response(node, key, &metadata, started_at);
}

fn record_failure<S, H, C>(
    node: &Node<S, H, C>,
    key: Key,
    outcome: &'static str,
    started_at: Instant,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    node.metrics.probe(outcome);
    let mut table = node.table.lock();
    let Some(backend) = table.get_mut(key) else {
        return;
    };
    backend.record_connection_failure(false, now);
    backend.record_unreachable(node.identity.boot, now);
    if let Some(suppressed) = node.limits.probes.pass(now) {
        slog::info!(node.log, "prober: server unreachable"; "server" => &backend.server.id,
            "outcome" => outcome, "suppressed" => suppressed);
    }
    let event = Event {
        outcome: Some(gossip::RequestOutcome::Unreached),
        ..Event::in_flight(key, backend.in_flight_from(node.identity.boot))
    };
    let server = backend.server.id.clone();
    drop(table);
    node.record_failed_probe(&server, started_at);
    node.publish(event);
}

fn record_response<S, H, C>(
    node: &Node<S, H, C>,
    key: Key,
    metadata: &ResponseMetadata,
    started_at: Instant,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    let now = node.now();
    node.metrics.probe("answered");
    // Only a limit is taken from probes: a server need not name it in their responses.
    let limit = metadata
        .limit
        .and_then(|limit| node.record_limit(key, Some(limit)));
    let (in_flight, warmup_left, service, server) = {
        let mut table = node.table.lock();
        if let Some(report) = metadata.report {
            table.record_report(key, report, now);
        }
        let Some(backend) = table.get_mut(key) else {
            return;
        };
        let warmup_left = metadata
            .warmup_left
            .unwrap_or_else(|| backend.warmup_left(now));
        if !warmup_left.is_zero() && !backend.is_cold(now) {
            if let Some(suppressed) = node.limits.probes.pass(now) {
                slog::info!(node.log, "prober: server became cold"; "server" => &backend.server.id,
                    "millis left" => warmup_left.as_millis(),
                    "requests since the last probe" => backend.started_since_probe(),
                    "probe millis" => now.since(started_at).as_millis(), "suppressed" => suppressed);
            }
        }
        backend.record_probe(warmup_left, now);
        (
            backend.in_flight_from(node.identity.boot),
            warmup_left,
            backend.server.service.clone(),
            backend.server.id.clone(),
        )
    };
    node.record_answered_probe(&server, started_at);
    {
        let mut probes = node.probes.0.lock();
        let duration = now.since(started_at).as_secs_f64();
        probes.mean_seconds += (duration - probes.mean_seconds) * AVERAGE_WEIGHT;
        if metadata.report.is_none() {
            probes.without_reports.insert(service);
        }
    }
    node.publish(Event {
        server: key,
        in_flight,
        report: metadata.report,
        outcome: None,
        warmup_left: Some(warmup_left),
        limit,
        leaving: node.record_leaving(key, metadata.leaving),
    });
}

/// Probes the server. Returns its id and the response metadata. The status is ignored, since the
/// server's own view of its health is not reliable.
async fn send_probe<S, H, C>(node: &Node<S, H, C>, key: Key) -> Option<(String, ResponseMetadata)>
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
        let due = config.as_ref().and_then(|c| c.services.get(&service));
        due?.health_path.clone()
    };
    let host = address.to_string();
    let request = Request {
        method: "GET",
        target: &path,
        host: &host,
        headers: &[],
        body: &[],
    };
    let connection = node.idle.take(address, MAX_CONNECTION_IDLE).await.ok()?;
    let usage = connection.usage();
    let limits = Limits::default();
    // Probes have no id: a response that names a request belongs to an earlier one on the
    // connection, unless it names the server too, as only responses to probes do.
    let is_response = |response: &Response| {
        let metadata = node.codec.parse_response(&response.headers);
        if metadata.request_id.is_none() || metadata.server_id.is_some() {
            return true;
        }
        if let Some(suppressed) = node.limits.probes.pass(node.now()) {
            slog::info!(node.log, "prober: response to a request skipped"; "server" => &id,
                "request" => metadata.request_id, "status" => response.status,
                "connection" => usage.connection, "requests before" => usage.requests,
                "suppressed" => suppressed);
        }
        node.metrics.skipped_response();
        false
    };
    let exchange = connection
        .exchange_matching(&request, limits, is_response)
        .await
        .ok()?;
    let metadata = node.codec.parse_response(&exchange.response.headers);
    // Probes have no id. A repeated refusal or failure of one would be taken for that of the next
    // request.
    let is_success = (200..300).contains(&exchange.response.status) && !metadata.not_run;
    if let Some(connection) = exchange.connection.filter(|_| is_success) {
        node.keep_connection(address, connection, exchange.keep_alive_timeout);
    }
    node.record_pause(key, &exchange.response);
    Some((id, metadata))
}
