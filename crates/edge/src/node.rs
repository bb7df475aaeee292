//! State shared by the tasks of one instance.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use balance::budget::Budget;
use balance::config::Active;
use balance::demand::Demand;
use balance::group::Group;
use balance::record::Kind;
use balance::replica::Delta;
use balance::server::Key;
use balance::share::Shares;
use balance::shutdown::Schedule;
use balance::table::Table;
use balance::turn::Turns;
use client::{ConnectionPool, Memory, Received};
use clock::{Clock, Instant};
use parking_lot::{Mutex, MutexGuard};
use slog::Logger;

use crate::duty::Inbox;
use crate::forward::{Queues, ServiceTimes};
use crate::freshness::Freshness;
use crate::gossip::{Event, Identity, Members, Message, Socket};
use crate::headers::Codec;
use crate::log::Limiter;
use crate::metrics::Metrics;
use crate::prober::Probes;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::signal::Signal;
use crate::store::Store;
use crate::suspects::Suspects;
use crate::usage;
use crate::view::{self, View};

/// The most idle connections kept to one server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// How long a server is kept after its record expired during an outage of the store.
const MISSING_SERVER_TTL: Duration = Duration::from_secs(2);

/// Rate limiters for log records that other parties can cause at any rate.
#[derive(Debug)]
pub(crate) struct LogLimiters {
    pub(crate) datagrams: Limiter,
    pub(crate) served: Limiter,
    pub(crate) refused: Limiter,
    pub(crate) failed: Limiter,
    pub(crate) retried: Limiter,
    pub(crate) probes: Limiter,
    pub(crate) store: Limiter,
    pub(crate) suspicions: Limiter,
    pub(crate) conditions: Limiter,
    pub(crate) tenants: Limiter,
    pub(crate) freshness: Limiter,
}

/// The records of failures that are logged at once.
const FAILURE_BURST: u32 = 20;

impl LogLimiters {
    fn new() -> Self {
        // Refused, failed and retried requests are logged up to 100 times a second each; for
        // successful ones a sample of one a second is enough. The attempts of one request may follow
        // each other within a millisecond.
        let per_failure = || Limiter::new(Duration::from_millis(10)).with_burst(FAILURE_BURST);
        Self {
            datagrams: Limiter::new(Duration::from_secs(1)),
            served: Limiter::new(Duration::from_secs(1)),
            refused: per_failure(),
            failed: per_failure(),
            retried: per_failure(),
            probes: Limiter::new(Duration::from_millis(100)).with_burst(FAILURE_BURST),
            store: Limiter::new(Duration::from_millis(250)),
            suspicions: per_failure(),
            conditions: per_failure(),
            tenants: Limiter::new(Duration::from_secs(1)).with_burst(FAILURE_BURST),
            freshness: Limiter::new(Duration::from_secs(1)).with_burst(FAILURE_BURST),
        }
    }
}

/// State shared by the tasks of one instance.
pub struct Node<S, H, C> {
    pub(crate) identity: Identity,
    pub(crate) settings: ArcSwap<Settings>,
    pub(crate) store: S,
    pub(crate) codec: H,
    pub(crate) clock: C,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) socket: Socket,
    pub(crate) view: Mutex<View>,
    pub(crate) freshness: Freshness,
    pub(crate) members: Mutex<Members>,
    pub(crate) rollouts: Mutex<Rollouts>,
    pub(crate) table: Mutex<Table>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) demand: Mutex<Demand>,
    pub(crate) turns: Mutex<Turns>,
    pub(crate) suspects: Mutex<Suspects>,
    pub(crate) shares: Mutex<Shares>,
    pub(crate) tenant_usage: usage::State,
    pub(crate) config: ArcSwapOption<Active>,
    /// The addresses of the other instances of the data centre, in ascending order.
    pub(crate) addresses: ArcSwap<Vec<SocketAddr>>,
    addresses_by_boot: ArcSwap<HashMap<u64, SocketAddr>>,
    pub(crate) idle: ConnectionPool<C>,
    /// The memory of bodies that are being received.
    pub(crate) body_memory: Memory,
    pub(crate) queues: Queues,
    pub(crate) service_times: ServiceTimes,
    pub(crate) limits: LogLimiters,
    /// Events to publish to the data centre.
    pub(crate) outbox: Mutex<Vec<Event>>,
    /// Wakes the task that publishes events.
    pub(crate) outbox_ready: Signal,
    pub(crate) probes: Probes,
    /// Announcements of the instance that reports usage.
    pub(crate) duty_notices: Inbox,
    /// The bytes of changes that other instances have sent.
    pub(crate) pulled: Received,
    /// Wakes the task that pulls changes from other instances.
    pub(crate) lagging: Signal,
    /// Whether all records of a kind are needed, by [`Kind::index`].
    needs_all: [AtomicBool; Kind::ALL.len()],
    is_reader: AtomicBool,
    reads_store: AtomicBool,
    store_contact: AtomicBool,
    store_failed_until: AtomicU64,
    reader_seen_at: AtomicU64,
    /// When the watchdog last checked for a suspension, in microseconds.
    pub(crate) checked_at: AtomicU64,
    /// The number of heartbeats that were sent.
    pub(crate) heartbeat_round: AtomicU32,
    divided: AtomicBool,
    shutdown: OnceLock<Schedule>,
    stale: AtomicBool,
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns the state of an instance at its start.
    pub(crate) fn new(
        settings: Settings,
        store: S,
        codec: H,
        clock: C,
        log: Logger,
        metrics: Metrics,
        socket: Socket,
    ) -> Self {
        let body_memory = Memory::new(settings.body_memory_bytes);
        let identity = Identity {
            boot: fastrand::u64(1..),
            address: settings.peers,
            centre: settings.centre.clone(),
        };
        // Until the fleet's size is known, assume a large one, so that this instance's share of the
        // retry budget is small.
        const ASSUMED_INSTANCES: usize = 100;
        Self {
            members: Mutex::new(Members::new(identity.clone())),
            table: Mutex::new(Table::new(identity.boot, &settings.centre)),
            budget: Mutex::new(Budget::new(settings.bounds.retries, ASSUMED_INSTANCES)),
            idle: ConnectionPool::new(clock.clone(), MAX_IDLE_CONNECTIONS)
                .with_memory(body_memory.clone()),
            body_memory,
            demand: Mutex::default(),
            turns: Mutex::default(),
            suspects: Mutex::new(Suspects::new()),
            tenant_usage: usage::State::new(settings.usage.as_ref(), &clock),
            shares: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
            view: Mutex::default(),
            freshness: Freshness::default(),
            rollouts: Mutex::default(),
            config: ArcSwapOption::empty(),
            addresses: ArcSwap::default(),
            addresses_by_boot: ArcSwap::default(),
            queues: Queues::default(),
            service_times: ServiceTimes::default(),
            limits: LogLimiters::new(),
            outbox: Mutex::default(),
            outbox_ready: Signal::new(),
            probes: Probes::new(),
            duty_notices: Inbox::default(),
            pulled: Received::default(),
            lagging: Signal::new(),
            needs_all: Default::default(),
            is_reader: AtomicBool::new(false),
            reads_store: AtomicBool::new(false),
            store_contact: AtomicBool::new(false),
            store_failed_until: AtomicU64::new(0),
            reader_seen_at: AtomicU64::new(clock.now().as_micros()),
            checked_at: AtomicU64::new(clock.now().as_micros()),
            heartbeat_round: AtomicU32::new(0),
            divided: AtomicBool::new(false),
            shutdown: OnceLock::new(),
            stale: AtomicBool::new(false),
            identity,
            store,
            codec,
            clock,
            log,
            metrics,
            socket,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Sends a message to the given instances.
    pub(crate) fn send(&self, message: &Message, addresses: &[SocketAddr]) {
        let unsent = self.socket.send(message, addresses);
        self.metrics.datagrams(addresses.len(), unsent);
    }

    /// Sends a message to the other instances of the data centre.
    pub(crate) fn broadcast(&self, message: &Message) {
        let addresses = self.addresses.load();
        self.send(message, &addresses);
    }

    /// Returns the addresses at which the other data centres are reached, one each.
    pub(crate) fn other_centres(&self) -> Vec<SocketAddr> {
        let members = self.members.lock();
        let contacts = members.contacts(self.now());
        contacts.into_iter().map(|(_, address)| address).collect()
    }

    /// Sends a message to the other instances of the data centre and to one of each other.
    pub(crate) fn send_everywhere(&self, message: &Message) {
        self.broadcast(message);
        self.send(message, &self.other_centres());
    }

    /// Sends a message to the other instances of `group`.
    pub(crate) fn send_to_group(&self, message: &Message, group: Group) {
        let known = self.addresses_by_boot.load();
        let addresses: Vec<SocketAddr> = {
            let table = self.table.lock();
            let instances = table.duties().instances(group).iter();
            instances
                .filter_map(|boot| known.get(boot).copied())
                .collect()
        };
        self.send(message, &addresses);
    }

    /// Publishes a change at a server to its group, within about a millisecond.
    pub(crate) fn publish(&self, event: Event) {
        self.outbox.lock().push(event);
        self.outbox_ready.send();
    }

    /// Returns whether there is an idle connection to the server.
    pub(crate) fn is_connected(&self, key: Key) -> bool {
        let address = self.table.lock().get(key).map(|b| b.server.address);
        address.is_some_and(|address| self.idle.has(address))
    }

    /// Updates the addresses of the data centre's other instances from `members`.
    pub(crate) fn set_addresses(&self, members: &Members) {
        let mut addresses = members.addresses();
        addresses.sort_unstable();
        if **self.addresses.load() != addresses {
            self.addresses.store(addresses.into());
            self.addresses_by_boot
                .store(members.addresses_by_boot().into());
        }
    }

    /// Returns whether this instance reads the store for its data centre.
    pub(crate) fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Acquire)
    }

    /// Sets whether this instance reads the store for its data centre.
    pub(crate) fn set_reader(&self, is_reader: bool, reason: &str) {
        if self.is_reader.swap(is_reader, Ordering::AcqRel) != is_reader {
            slog::info!(self.log, "reader: the role changed"; "is reader" => is_reader,
                "why" => reason);
        }
    }

    /// Returns whether this instance, as a reader, reads the store itself rather than taking the
    /// records from the reader of another data centre.
    pub(crate) fn reads_store(&self) -> bool {
        self.reads_store.load(Ordering::Acquire)
    }

    /// Sets whether this instance, as a reader, reads the store itself. Before it does, the store
    /// is unconfirmed.
    pub(crate) fn set_reads_store(&self, reads_store: bool) {
        if self.reads_store.load(Ordering::Acquire) == reads_store {
            return;
        }
        self.reset_store_contact();
        // Kept connections may have fallen silent since they were used.
        self.store.close_idle();
        self.reads_store.store(reads_store, Ordering::Release);
        slog::info!(self.log, "reader: the source changed"; "reads store" => reads_store);
    }

    /// Returns whether this instance reads the store itself, and the store responds.
    pub(crate) fn is_reading_store(&self) -> bool {
        self.reads_store() && self.has_store_contact()
    }

    /// Returns whether this instance, as a reader, has a source of current records.
    pub(crate) fn is_supplied(&self) -> bool {
        !self.reads_store() || self.has_store_contact()
    }

    /// Returns whether a call of the store has failed recently.
    pub(crate) fn store_failed_recently(&self) -> bool {
        self.now().as_micros() < self.store_failed_until.load(Ordering::Acquire)
    }

    /// Records that a call of the store failed. Other instances take over as the reader for a
    /// while.
    pub(crate) fn record_store_failure(&self) {
        const STORE_FAILURE_TTL: Duration = Duration::from_secs(2);
        let now = self.now();
        self.reset_store_contact();
        let until = now + STORE_FAILURE_TTL;
        self.store_failed_until
            .store(until.as_micros(), Ordering::Release);
    }

    /// Marks the store as unconfirmed, so that it is tried with a single call before all kinds are
    /// read.
    pub(crate) fn reset_store_contact(&self) {
        self.store_contact.store(false, Ordering::Release);
    }

    /// Returns whether the last call of the store succeeded.
    pub(crate) fn has_store_contact(&self) -> bool {
        self.store_contact.load(Ordering::Acquire)
    }

    /// Records that a call of the store succeeded.
    pub(crate) fn record_store_success(&self) {
        self.store_contact.store(true, Ordering::Release);
        self.store_failed_until.store(0, Ordering::Release);
    }

    /// Records that the data centre has a reader that reaches the store.
    pub(crate) fn record_reader(&self) {
        self.reader_seen_at
            .store(self.now().as_micros(), Ordering::Release);
    }

    /// Returns how long the data centre has had no reader that reaches the store.
    pub(crate) fn time_without_reader(&self) -> Duration {
        let at = Instant::from_micros(self.reader_seen_at.load(Ordering::Acquire));
        self.now().since(at)
    }

    /// Returns whether the data centre is divided into groups.
    pub(crate) fn is_divided(&self) -> bool {
        self.divided.load(Ordering::Acquire)
    }

    /// Returns whether the instance is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Begins the shutdown. Returns its schedule.
    pub(crate) fn begin_shutdown(&self) -> &Schedule {
        let grace = self.settings.load().bounds.grace;
        self.shutdown
            .get_or_init(|| Schedule::new(self.now(), grace))
    }

    /// Returns whether a request with this deadline may be sent to a server, or would perhaps be
    /// cut by the shutdown.
    pub(crate) fn may_start(&self, deadline: Instant) -> bool {
        let shutdown = self.shutdown.get();
        shutdown.is_none_or(|schedule| schedule.admits(deadline, self.now()))
    }

    /// Returns whether the instance's data may be out of date because the process was suspended.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale.load(Ordering::Acquire)
    }

    /// Sets whether the instance's data may be out of date.
    pub(crate) fn set_stale(&self, stale: bool) {
        self.stale.store(stale, Ordering::Release);
    }

    /// Returns whether records of all kinds have been read at least once.
    pub(crate) fn has_all_records(&self) -> bool {
        self.has_records(&Kind::ALL)
    }

    /// Returns whether records of these kinds have been read at least once.
    pub(crate) fn has_records(&self, kinds: &[Kind]) -> bool {
        let revisions = self.view.lock().revisions();
        kinds.iter().all(|kind| revisions[kind.index()] > 0)
    }

    /// Returns whether this instance has this revision of `kind` or a later one.
    pub(crate) fn has_revision(&self, kind: Kind, revision: u64) -> bool {
        self.view.lock().replica(kind).revision() >= revision
    }

    /// Returns whether another instance is known to have a newer configuration.
    pub(crate) fn has_old_config(&self) -> bool {
        let revision = self.view.lock().replica(Kind::Config).revision();
        let members = self.members.lock();
        members.max_revision(Kind::Config, self.now()) > revision
    }

    /// Returns why the instance is not ready for callers, or `None` if it is.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("it is stopping");
        }
        if self.config.load().is_none() {
            return Some("it knows no configuration");
        }
        if !self.has_records(&[Kind::Servers]) {
            return Some("it knows no servers");
        }
        None
    }

    /// Returns the revisions after which this instance needs changes. It needs all records of a kind
    /// if it could not apply changes to those that it has.
    pub(crate) fn needed_revisions(&self) -> [u64; Kind::ALL.len()] {
        let mut revisions = self.view.lock().revisions();
        for (revision, needs_all) in revisions.iter_mut().zip(&self.needs_all) {
            if needs_all.load(Ordering::Acquire) {
                *revision = 0;
            }
        }
        revisions
    }

    /// Applies a change that was read from the store. Returns what to pass on to other instances, if it
    /// was newer than the known state.
    pub(crate) fn apply_read(&self, kind: Kind, delta: Delta) -> Option<Delta> {
        let view = self.view.lock();
        let delta = view.replica(kind).condense(delta);
        self.apply_to(view, kind, &delta, "store").then_some(delta)
    }

    /// Applies a change that another instance has read. Returns whether it was newer than the known
    /// state.
    pub(crate) fn apply_delta(&self, kind: Kind, delta: &Delta, source: &str) -> bool {
        self.apply_to(self.view.lock(), kind, delta, source)
    }

    fn apply_to(
        &self,
        mut view: MutexGuard<'_, View>,
        kind: Kind,
        delta: &Delta,
        source: &str,
    ) -> bool {
        let now = self.now();
        match view.apply(kind, delta) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(error) => {
                drop(view);
                slog::warn!(self.log, "view: changes rejected, asking for all records";
                    "kind" => ?kind, "revision" => delta.revision, "source" => source,
                    "error" => %error);
                self.needs_all[kind.index()].store(true, Ordering::Release);
                self.lagging.send();
                return false;
            }
        }
        self.needs_all[kind.index()].store(false, Ordering::Release);
        let age = self.freshness.age(kind, now).map(|age| age.as_millis());
        slog::info!(self.log, "view: records changed"; "kind" => ?kind,
            "revision" => delta.revision, "changes" => delta.changes.len(), "source" => source,
            "records" => view::summary(delta), "millis since confirmed" => age);
        match kind {
            Kind::Config => {
                let config = view.config();
                if let Some(config) = &config {
                    let rates = config
                        .services
                        .iter()
                        .map(|(n, s)| (n.clone(), s.warmup_rate));
                    self.table.lock().set_warmup_rates(rates.collect());
                    slog::info!(self.log, "view: configuration applied";
                        "version" => config.version, "routes" => config.routes.len(),
                        "faults" => config.faults.len(), "millis since confirmed" => age);
                    for fault in &config.faults {
                        slog::warn!(self.log, "view: part of the configuration is not in force";
                            "version" => config.version, "fault" => fault);
                    }
                    self.metrics.config_faults(config.faults.len());
                }
                self.config.store(config);
            }
            Kind::Servers => {
                let after_outage = delta.after_outage;
                self.table.lock().update(view.servers(), after_outage, now);
            }
            Kind::Orders => {
                let orders = view.orders();
                self.rollouts.lock().set_orders(orders, now);
            }
            Kind::Evacuations => {
                let evacuations: HashSet<String> = view.evacuations();
                slog::info!(self.log, "view: evacuated data centres";
                    "centres" => ?evacuations);
                self.table.lock().set_evacuated(evacuations);
            }
        }
        drop(view);
        self.queues.wake_all();
        true
    }

    /// Updates state that depends on the members and on time.
    pub(crate) fn update_derived_state(&self) {
        let now = self.now();
        let (boots, count, lenders) = {
            let members = self.members.lock();
            let lenders = members.lenders(now);
            (
                members.live_boots(now),
                members.instance_count(now),
                lenders,
            )
        };
        let bases = self.rollouts.lock().bases();
        let divided = {
            let mut table = self.table.lock();
            table.drop_missing(MISSING_SERVER_TTL, now);
            for (service, version) in bases {
                table.set_base_version(&service, &version);
            }
            table.retain_lenders(&lenders);
            table.assign_duties(&boots);
            table.duties().is_divided()
        };
        self.turns.lock().set_batched(divided);
        self.divided.store(divided, Ordering::Release);
        self.budget.lock().observe_instances(count);
    }
}
