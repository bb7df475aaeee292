//! An instance with a store in memory.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balance::budget::Bound;
use balance::config::{Config, Limits};
use balance::duty;
use balance::order::{Order, Progress};
use balance::record::{Kind, Record};
use balance::replica::{Change, Delta};
use balance::route::{Route, Share};
use balance::server::Server;
use balance::service::Service;
use balance::tenant::{Digest, Tenant};
use balance::usage;
use client::Received;
use clock::{Boottime, Clock, Instant};
use edge::settings::{Bounds, Settings, UsageDuty};
use edge::store::{Check, Error, Store, WatchResponse};
use edge::Daemon;

use crate::codec::TestCodec;
use crate::duty::{usage_duty, AcceptingReceiver};
use crate::script::Backend;

/// The memory for bodies that are being received, in bytes.
pub(crate) const BODY_MEMORY_BYTES: usize = 512 * 1024;

/// The time from the request to stop an instance until it is killed.
pub(crate) const GRACE: Duration = Duration::from_secs(4);

/// The servers that may run one request.
pub(crate) const MAX_ATTEMPTS: u32 = 2;

/// The length of a window of usage, where it is counted.
pub(crate) const USAGE_WINDOW: Duration = Duration::from_secs(1);

/// The time limit of a route that carries large bodies.
const LARGE_BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the time within which changes of a kind have to be in force.
pub(crate) const fn bound(kind: Kind) -> Duration {
    match kind {
        Kind::Config | Kind::Servers => Duration::from_secs(2),
        Kind::Orders | Kind::Evacuations => Duration::from_secs(5),
    }
}

/// How long a call of a silent store takes to fail.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The port for other instances.
const PEERS_PORT: u16 = 8082;

#[derive(Debug, Default)]
struct Records {
    revision: u64,
    records: BTreeMap<(Kind, String), Record>,
    log: Vec<(u64, Kind, Change)>,
    /// The kinds for which a long-polling call has begun.
    watched: Vec<Kind>,
    /// Long-polling calls of this kind that are waiting return nothing any more.
    silenced: Option<Kind>,
    /// The checks of each kind that get no response, from the next one on.
    lost_checks: BTreeMap<Kind, u32>,
    /// Whether calls get no response until the idle connections are closed.
    has_silent_connections: bool,
    /// How long the response to a long-polling call takes to arrive.
    transfer_time: Duration,
    /// Whether reports of the progress of rollouts get no response.
    silent_reports: bool,
    /// The usage of tenants, by data centre.
    usage: BTreeMap<String, Vec<usage::Report>>,
    /// The object that says who has the duty to report usage.
    duty: Option<duty::Stored>,
}

/// A store in memory, and whether the link to it is silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore(Arc<Mutex<Records>>, Arc<AtomicBool>);

impl MemoryStore {
    /// Returns the same store with a link of its own.
    fn with_own_link(&self) -> Self {
        Self(self.0.clone(), Arc::default())
    }

    /// Sets whether calls over this link get no response.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.1.store(is_silent, Ordering::Release);
    }

    fn is_silent(&self) -> bool {
        self.1.load(Ordering::Acquire)
    }

    /// Fails after `limit` if the link is silent.
    async fn check_link(&self, limit: Duration) -> Result<(), Error> {
        if !self.is_silent() {
            return Ok(());
        }
        time_out(limit).await
    }

    /// Writes a record, or deletes it.
    pub(crate) fn put(&self, kind: Kind, name: &str, record: Option<Record>) {
        let mut state = self.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind, name.to_owned());
        match &record {
            Some(record) => state.records.insert(key, record.clone()),
            None => state.records.remove(&key),
        };
        state.log.push((revision, kind, (name.to_owned(), record)));
    }

    /// Returns whether a long-polling call for records of `kind` has begun.
    pub(crate) fn is_watched(&self, kind: Kind) -> bool {
        self.0.lock().unwrap().watched.contains(&kind)
    }

    /// Makes the long-polling calls of `kind` that wait now silent for good. Later ones work.
    pub(crate) fn silence_watches(&self, kind: Kind) {
        self.0.lock().unwrap().silenced = Some(kind);
    }

    /// Leaves the next `count` checks of `kind` without a response.
    pub(crate) fn lose_checks(&self, kind: Kind, count: u32) {
        self.0.lock().unwrap().lost_checks.insert(kind, count);
    }

    /// Returns whether all checks that [`Self::lose_checks`] names have been lost.
    pub(crate) fn has_lost_checks(&self) -> bool {
        let state = self.0.lock().unwrap();
        state.lost_checks.values().all(|count| *count == 0)
    }

    /// Makes all connections to the store silent for good, also those that are kept for later calls.
    /// New ones work.
    pub(crate) fn silence_connections(&self, kind: Kind) {
        self.silence_watches(kind);
        self.0.lock().unwrap().has_silent_connections = true;
    }

    /// Makes the changes that long-polling calls return arrive slowly.
    pub(crate) fn set_transfer_time(&self, transfer_time: Duration) {
        self.0.lock().unwrap().transfer_time = transfer_time;
    }

    /// Makes calls that report the progress of rollouts return nothing from now on.
    pub(crate) fn set_reports_silent(&self) {
        self.0.lock().unwrap().silent_reports = true;
    }

    /// Returns the usage of tenants that a data centre wrote last.
    pub(crate) fn usage(&self, centre: &str) -> Vec<usage::Report> {
        let state = self.0.lock().unwrap();
        state.usage.get(centre).cloned().unwrap_or_default()
    }

    /// Creates the object of the duty to report usage. Instances that start afterwards have the duty.
    pub(crate) fn create_duty(&self, object: duty::Object) {
        let mut state = self.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.duty = Some(duty::Stored { revision, object });
    }

    /// Returns the object of the duty to report usage.
    pub(crate) fn duty(&self) -> Option<duty::Object> {
        let state = self.0.lock().unwrap();
        state.duty.as_ref().map(|stored| stored.object.clone())
    }

    async fn transfer(&self, received: &Received) {
        const STEP: Duration = Duration::from_millis(50);
        let transfer_time = self.0.lock().unwrap().transfer_time;
        for _ in 0..transfer_time.as_millis() / STEP.as_millis() {
            smol::Timer::after(STEP).await;
            received.add(1);
        }
    }
}

async fn time_out<T>(limit: Duration) -> Result<T, Error> {
    smol::Timer::after(limit).await;
    Err(Error::TimedOut { limit, received: 0 })
}

impl Store for MemoryStore {
    async fn list(&self, kind: Kind) -> Result<Delta, Error> {
        self.check_link(CALL_TIMEOUT).await?;
        let state = self.0.lock().unwrap();
        let records = state.records.iter().filter(|((k, _), _)| *k == kind);
        Ok(Delta {
            after: None,
            revision: state.revision,
            changes: records
                .map(|((_, n), r)| (n.clone(), Some(r.clone())))
                .collect(),
            after_outage: false,
        })
    }

    async fn watch(
        &self,
        kind: Kind,
        after: u64,
        wait: Duration,
        received: &Received,
    ) -> Result<WatchResponse, Error> {
        const ATTEMPTS: u32 = 100;
        self.check_link(CALL_TIMEOUT).await?;
        {
            let mut state = self.0.lock().unwrap();
            state.silenced.take_if(|k| *k == kind);
            if !wait.is_zero() {
                state.watched.push(kind);
            }
        }
        for _ in 0..ATTEMPTS {
            let is_silenced = self.0.lock().unwrap().silenced == Some(kind);
            if is_silenced || self.is_silent() {
                std::future::pending::<()>().await;
            }
            let response = {
                let state = self.0.lock().unwrap();
                let newer = state
                    .log
                    .iter()
                    .filter(|(r, k, _)| *r > after && *k == kind);
                let changes: Vec<Change> = newer.map(|(_, _, change)| change.clone()).collect();
                (!changes.is_empty()).then(|| WatchResponse {
                    cursor: state.revision,
                    delta: Some(Delta {
                        after: Some(after),
                        revision: state.revision,
                        changes,
                        after_outage: false,
                    }),
                })
            };
            if let Some(response) = response {
                self.transfer(received).await;
                return Ok(response);
            }
            smol::Timer::after(wait / ATTEMPTS).await;
        }
        Ok(WatchResponse {
            delta: None,
            cursor: after,
        })
    }

    async fn check(&self, kind: Kind, after: u64, limit: Duration) -> Result<Check, Error> {
        self.check_link(limit).await?;
        let is_lost = {
            let mut state = self.0.lock().unwrap();
            let lost = state.lost_checks.entry(kind).or_default();
            let is_lost = *lost > 0;
            *lost = lost.saturating_sub(1);
            is_lost || state.has_silent_connections
        };
        if is_lost {
            return time_out(limit).await;
        }
        let state = self.0.lock().unwrap();
        if state.log.iter().any(|(r, k, _)| *r > after && *k == kind) {
            return Ok(Check::Changed);
        }
        let revision = state.revision;
        Ok(Check::Current { revision })
    }

    fn close_idle(&self) {
        self.0.lock().unwrap().has_silent_connections = false;
    }

    async fn report_progress(&self, _order: &Order, _progress: Progress) -> Result<(), Error> {
        if self.0.lock().unwrap().silent_reports {
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    async fn read_usage(&self, centre: &str) -> Result<Option<Vec<usage::Report>>, Error> {
        Ok(self.0.lock().unwrap().usage.get(centre).cloned())
    }

    async fn write_usage(&self, centre: &str, reports: &[usage::Report]) -> Result<(), Error> {
        let mut state = self.0.lock().unwrap();
        state.usage.insert(centre.to_owned(), reports.to_vec());
        Ok(())
    }

    async fn read_duty(&self) -> Result<duty::Reading, Error> {
        let stored = self.0.lock().unwrap().duty.clone();
        Ok(duty::Reading { era: 0, stored })
    }

    async fn write_duty(&self, write: &duty::Write) -> Result<duty::Outcome, Error> {
        let mut state = self.0.lock().unwrap();
        let revision = state.duty.as_ref().map(|stored| stored.revision);
        let expected = revision.map_or(duty::Condition::Absent, duty::Condition::Revision);
        if write.condition != expected {
            return Ok(duty::Outcome::Conflict { era: 0 });
        }
        state.revision += 1;
        let revision = state.revision;
        let object = write.object.clone();
        state.duty = Some(duty::Stored { revision, object });
        Ok(duty::Outcome::Written { era: 0, revision })
    }

    fn era(&self) -> Option<u64> {
        Some(0)
    }
}

/// The routes of a site: requests to `/safe/` are idempotent, those to `/once/` are not.
pub(crate) fn config(version: u32) -> Record {
    let route = |name: &str, idempotent| Route {
        name: name.to_owned(),
        host: "pond.example".to_owned(),
        prefix: format!("/{name}/"),
        idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        max_attempts: MAX_ATTEMPTS,
        priority: 0,
        shares: vec![Share {
            service: "gauge".to_owned(),
            weight: 1.0,
        }],
        public: false,
    };
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        warmup: Duration::from_secs(1),
        warmup_rate: 5.0,
    };
    Record::Config(Config {
        version,
        routes: vec![route("safe", true), route("once", false)],
        services: BTreeMap::from([("gauge".to_owned(), service)]),
        limits: Limits {
            max_head_bytes: 2048,
            max_body_bytes: 64 * 1024,
            head_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(10),
        },
        tenants: None,
        faults: Vec::new(),
    })
}

/// Returns a later configuration, without the route of requests to `/safe/`.
pub(crate) fn config_without_route() -> Record {
    let Record::Config(mut config) = config(9) else {
        unreachable!("it is a configuration");
    };
    config.routes.retain(|route| route.name != "safe");
    Record::Config(config)
}

pub(crate) fn server(id: &str, address: SocketAddr) -> Record {
    Record::Server(Server {
        id: id.to_owned(),
        service: "gauge".to_owned(),
        address,
        centre: "east".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        sequence: 1,
        started_at_ms: 1,
    })
}

/// Returns a store with a configuration and the servers `s0`, `s1` and so on.
fn store(servers: &[SocketAddr]) -> MemoryStore {
    let store = MemoryStore::default();
    store.put(Kind::Config, "main", Some(config(4)));
    for (i, address) in servers.iter().enumerate() {
        let id = format!("s{i}");
        store.put(Kind::Servers, &id, Some(server(&id, *address)));
    }
    store
}

/// Returns a loopback address that no other test in this or another process uses.
fn unique_host() -> Ipv4Addr {
    static SITES: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, SITES.fetch_add(1, Ordering::Relaxed))
}

/// The clock of an instance, which can be set ahead as if the instance had not run for some time.
#[derive(Clone, Debug, Default)]
pub(crate) struct TestClock(Arc<AtomicU64>);

impl TestClock {
    /// Sets the clock ahead. What sleeps now wakes up no sooner.
    pub(crate) fn advance(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap();
        self.0.fetch_add(millis, Ordering::AcqRel);
    }
}

impl Clock for TestClock {
    fn now(&self) -> Instant {
        Boottime.now() + Duration::from_millis(self.0.load(Ordering::Acquire))
    }

    fn time_of_day(&self) -> Duration {
        Boottime.time_of_day()
    }

    async fn sleep_until(&self, deadline: Instant) {
        loop {
            let now = self.now();
            if now >= deadline {
                return;
            }
            smol::Timer::after(deadline.since(now)).await;
        }
    }
}

/// What an instance is started with.
pub(crate) struct Options {
    pub(crate) log: slog::Logger,
    /// The largest body of a request, if it is not that of [`config`]. Routes then have more time.
    pub(crate) max_body_bytes: Option<usize>,
    pub(crate) max_key_age: Option<Duration>,
    pub(crate) usage: Option<UsageDuty>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            log: edge::log::discard(),
            max_body_bytes: None,
            max_key_age: None,
            usage: None,
        }
    }
}

/// An instance with a store in memory.
pub(crate) struct Site {
    pub(crate) store: MemoryStore,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) clock: TestClock,
    pub(crate) daemon: Daemon<MemoryStore, TestCodec, TestClock>,
}

impl Site {
    /// Starts an instance with these servers and waits until it is ready.
    pub(crate) fn open(backends: &[&Backend]) -> Self {
        let addresses: Vec<SocketAddr> = backends.iter().map(|b| b.address).collect();
        Self::open_with(&addresses, Options::default())
    }

    /// Starts an instance with these servers and `options`, and waits until it is ready.
    pub(crate) fn open_with(servers: &[SocketAddr], options: Options) -> Self {
        let store = store(servers);
        if let Some(max_body_bytes) = options.max_body_bytes {
            let Record::Config(mut config) = config(5) else {
                unreachable!("the record is a configuration");
            };
            config.limits.max_body_bytes = max_body_bytes;
            for route in &mut config.routes {
                route.timeout = LARGE_BODY_TIMEOUT;
            }
            store.put(Kind::Config, "main", Some(Record::Config(config)));
        }
        Self::open_instance(&store, "east", Vec::new(), options)
    }

    /// Starts an instance in each of `centres`, with servers in the data centre `east`, and waits
    /// until all are ready and know each other.
    pub(crate) fn open_fleet(servers: &[SocketAddr], centres: &[&str]) -> Vec<Self> {
        Self::open_fleet_with(&store(servers), centres, None)
    }

    /// As [`Self::open_fleet`], with the duty to report usage, of which the store has `object`.
    pub(crate) fn open_reporting_fleet(object: duty::Object, centres: &[&str]) -> Vec<Self> {
        let store = store(&[]);
        store.create_duty(object);
        Self::open_fleet_with(&store, centres, Some(&usage_duty()))
    }

    /// As [`Self::open_fleet`], with tenants whose keys are their names, and the duty to report their
    /// usage.
    pub(crate) fn open_metered_fleet(
        servers: &[SocketAddr],
        centres: &[&str],
        tenants: &[&str],
    ) -> Vec<Self> {
        let store = store(servers);
        let Record::Config(mut config) = config(5) else {
            unreachable!("the record is a configuration");
        };
        let tenants = tenants.iter().map(|name| {
            let tenant = Tenant {
                keys: vec![Digest::of(name.as_bytes())],
                priority: None,
            };
            ((*name).to_owned(), tenant)
        });
        config.tenants = Some(tenants.collect());
        store.put(Kind::Config, "main", Some(Record::Config(config)));
        let duty = UsageDuty {
            window: USAGE_WINDOW,
            ..usage_duty()
        };
        Self::open_fleet_with(&store, centres, Some(&duty))
    }

    fn open_fleet_with(
        store: &MemoryStore,
        centres: &[&str],
        usage: Option<&UsageDuty>,
    ) -> Vec<Self> {
        let mut sites: Vec<Self> = Vec::new();
        for centre in centres {
            let seeds = sites.iter().map(|site| site.peers).collect();
            let options = Options {
                usage: usage.cloned(),
                ..Options::default()
            };
            sites.push(Self::open_instance(store, centre, seeds, options));
        }
        // Instances of other data centres are found through the seeds, once in some heartbeats.
        std::thread::sleep(Duration::from_secs(3));
        sites
    }

    /// Starts an instance and waits until it is ready.
    fn open_instance(
        store: &MemoryStore,
        centre: &str,
        seeds: Vec<SocketAddr>,
        options: Options,
    ) -> Self {
        // An instance keeps a request while its server receives it.
        const LARGE_BODIES: usize = 4;
        let large_bodies = options.max_body_bytes.unwrap_or_default() * LARGE_BODIES;
        let store = store.with_own_link();
        let host = unique_host();
        let address = |port: u16| SocketAddr::from((host, port));
        let settings = Settings {
            name: format!("test-{centre}"),
            centre: centre.to_owned(),
            callers: address(8080),
            ready: address(8081),
            peers: address(PEERS_PORT),
            metrics: address(8083),
            seeds,
            max_connections: 100,
            body_memory_bytes: BODY_MEMORY_BYTES.max(large_bodies),
            bounds: Bounds {
                retries: Bound {
                    ratio: 0.2,
                    slack: 1000.0,
                    window: Duration::from_secs(10),
                },
                grace: GRACE,
                max_key_age: options.max_key_age,
            },
            usage: options.usage,
        };
        let (callers, ready, peers) = (settings.callers, settings.ready, settings.peers);
        let (metrics, log) = (settings.metrics, options.log);
        let clock = TestClock::default();
        let opening = Daemon::spawn(
            settings,
            store.clone(),
            TestCodec,
            clock.clone(),
            log,
            "/ready",
            Some(AcceptingReceiver),
        );
        let daemon = smol::block_on(opening).unwrap();
        let site = Self {
            store,
            callers,
            ready,
            peers,
            metrics,
            clock,
            daemon,
        };
        site.wait_until(|site| site.is_ready());
        site
    }

    /// Returns the port for other instances.
    pub(crate) fn peers_port(&self) -> u16 {
        PEERS_PORT
    }

    /// Waits until `condition` holds.
    pub(crate) fn wait_until(&self, mut condition: impl FnMut(&Self) -> bool) {
        const ATTEMPTS: usize = 1000;
        const PAUSE: Duration = Duration::from_millis(20);
        for _ in 0..ATTEMPTS {
            if condition(self) {
                return;
            }
            std::thread::sleep(PAUSE);
        }
        panic!("the condition did not hold in time");
    }

    pub(crate) fn is_ready(&self) -> bool {
        let response = exchange(
            self.ready,
            "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        );
        response.starts_with("HTTP/1.1 200")
    }

    /// Returns the metrics.
    pub(crate) fn metrics(&self) -> String {
        exchange(
            self.metrics,
            "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        )
    }

    /// Returns the value of a metric, named without the common prefix, with its labels, or `None` if
    /// there is no such series.
    pub(crate) fn metric(&self, series: &str) -> Option<f64> {
        let series = format!("chivewheel_{series}");
        let page = self.metrics();
        let value = page.lines().find_map(|line| line.strip_prefix(&series));
        value.map(|value| value.trim().parse().unwrap())
    }

    /// Sends a request with `method` and `body`. Returns the whole response.
    pub(crate) fn call(&self, method: &str, path: &str, body: &str) -> String {
        call(self.callers, method, path, body)
    }

    /// Sends a non-idempotent request with this id. Returns the whole response.
    pub(crate) fn post(&self, id: &str) -> String {
        exchange(
            self.callers,
            &format!(
                "POST /once/1 HTTP/1.1\r\nHost: pond.example\r\nId: {id}\r\nWait: 5000\r\n\
                 Content-Length: 0\r\nConnection: close\r\n\r\n"
            ),
        )
    }

    /// Like [`Self::call`], but returns the status, or `None` if there is no response within some
    /// seconds.
    pub(crate) fn try_call(&self, method: &str, path: &str, body: &str) -> Option<u16> {
        const LIMIT: Duration = Duration::from_secs(5);
        let mut stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream
            .write_all(request(method, path, body).as_bytes())
            .unwrap();
        let mut response = [0; "HTTP/1.1 200".len()];
        stream.read_exact(&mut response).ok()?;
        Some(status(&String::from_utf8_lossy(&response)))
    }
}

/// Sends a request with `method` and `body` to the callers' port `address`. Returns the whole
/// response.
pub(crate) fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    exchange(address, &request(method, path, body))
}

/// Returns a request after which the instance closes the connection.
fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: pond.example\r\nId: r1\r\nWait: 5000\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}

/// Sends `request` and reads until the connection is closed.
pub(crate) fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = Vec::new();
    // A reset ends the response like a close.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

pub(crate) fn status(response: &str) -> u16 {
    let status = response.split(' ').nth(1).and_then(|s| s.parse().ok());
    status.unwrap_or_else(|| panic!("no status: {response:?}"))
}
