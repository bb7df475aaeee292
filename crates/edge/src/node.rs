//! What the tasks of an instance share.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use balance::budget::Budget;
use balance::config::Config;
use balance::demand::Demand;
use balance::feed::Delta;
use balance::record::Kind;
use balance::rendezvous;
use balance::server::Key;
use balance::table::Table;
use balance::turn::Turns;
use client::Idle;
use clock::{Clock, Instant};
use parking_lot::Mutex;
use slog::Logger;

use crate::forward::{Queues, ServiceTimes};
use crate::gossip::{Event, Identity, Members, Message, Socket};
use crate::headers::Codec;
use crate::log::Limiter;
use crate::metrics::Metrics;
use crate::prober::Probes;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::signal::Signal;
use crate::store::Store;
use crate::view::{self, View};

/// The idle connections that are kept to one server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// How long a server whose entry lapsed is kept.
const MISSING_SERVER_TTL: Duration = Duration::from_secs(2);

/// Limits on log records that others can cause as often as they like.
#[derive(Debug)]
pub(crate) struct LogLimiters {
    pub(crate) datagrams: Limiter,
    pub(crate) served: Limiter,
    pub(crate) refused: Limiter,
    pub(crate) failed: Limiter,
    pub(crate) retried: Limiter,
    pub(crate) probes: Limiter,
    pub(crate) store: Limiter,
}

impl LogLimiters {
    fn new() -> Self {
        // Each refused, retried or failed request has its line up to a hundred a second; of those
        // served without ado a few are enough.
        let per_failure = || Limiter::new(Duration::from_millis(10));
        Self {
            datagrams: Limiter::new(Duration::from_secs(1)),
            served: Limiter::new(Duration::from_secs(1)),
            refused: per_failure(),
            failed: per_failure(),
            retried: per_failure(),
            probes: Limiter::new(Duration::from_millis(100)),
            store: Limiter::new(Duration::from_millis(250)),
        }
    }
}

/// What the tasks of an instance share.
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
    pub(crate) members: Mutex<Members>,
    pub(crate) rollouts: Mutex<Rollouts>,
    pub(crate) table: Mutex<Table>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) demand: Mutex<Demand>,
    pub(crate) turns: Mutex<Turns>,
    pub(crate) config: ArcSwapOption<Config>,
    pub(crate) addresses: ArcSwap<Vec<SocketAddr>>,
    pub(crate) idle: Idle<C>,
    pub(crate) queues: Queues,
    pub(crate) service_times: ServiceTimes,
    pub(crate) limits: LogLimiters,
    /// Events that are to be told.
    pub(crate) outbox: Mutex<Vec<Event>>,
    /// Wakes the task that tells events.
    pub(crate) outbox_ready: Signal,
    pub(crate) probes: Probes,
    /// Wakes the task that asks others for changes.
    pub(crate) lagging: Signal,
    is_reader: AtomicBool,
    store_contact: AtomicBool,
    store_failed_until: AtomicU64,
    reader_seen_at: AtomicU64,
    stopping: AtomicBool,
    stale: AtomicBool,
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns what an instance shares at its start.
    pub(crate) fn new(
        settings: Settings,
        store: S,
        codec: H,
        clock: C,
        log: Logger,
        metrics: Metrics,
        socket: Socket,
    ) -> Self {
        let identity = Identity {
            boot: fastrand::u64(1..),
            address: settings.peers,
            centre: settings.centre.clone(),
        };
        // Until others are heard, the instance takes the smallest share that a large fleet has.
        const ASSUMED_INSTANCES: usize = 100;
        Self {
            members: Mutex::new(Members::new(identity.clone())),
            table: Mutex::new(Table::new(identity.boot, &settings.centre)),
            budget: Mutex::new(Budget::new(settings.bounds.retries, ASSUMED_INSTANCES)),
            idle: Idle::new(clock.clone(), MAX_IDLE_CONNECTIONS),
            demand: Mutex::default(),
            turns: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
            view: Mutex::default(),
            rollouts: Mutex::default(),
            config: ArcSwapOption::empty(),
            addresses: ArcSwap::default(),
            queues: Queues::default(),
            service_times: ServiceTimes::default(),
            limits: LogLimiters::new(),
            outbox: Mutex::default(),
            outbox_ready: Signal::new(),
            probes: Probes::new(),
            lagging: Signal::new(),
            is_reader: AtomicBool::new(false),
            store_contact: AtomicBool::new(false),
            store_failed_until: AtomicU64::new(0),
            reader_seen_at: AtomicU64::new(clock.now().as_micros()),
            stopping: AtomicBool::new(false),
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

    /// Sends a message to other instances.
    pub(crate) fn send(&self, message: &Message, addresses: &[SocketAddr]) {
        let unsent = self.socket.send(message, addresses);
        self.metrics.datagrams(addresses.len(), unsent);
    }

    /// Sends a message to the other instances of the data centre.
    pub(crate) fn broadcast(&self, message: &Message) {
        let addresses = self.addresses.load();
        self.send(message, &addresses);
    }

    /// Tells the data centre what has happened at a server, within about a millisecond.
    pub(crate) fn publish(&self, event: Event) {
        self.outbox.lock().push(event);
        self.outbox_ready.send();
    }

    /// Returns whether a connection to the server is kept.
    pub(crate) fn is_connected(&self, key: Key) -> bool {
        let address = self.table.lock().get(key).map(|b| b.server.address);
        address.is_some_and(|address| self.idle.has(address))
    }

    /// Takes the addresses of the data centre's instances from `members`.
    pub(crate) fn set_addresses(&self, members: &Members) {
        let mut addresses = members.addresses();
        addresses.sort_unstable();
        if **self.addresses.load() != addresses {
            self.addresses.store(addresses.into());
        }
    }

    /// Returns whether this instance reads the store for its data centre.
    pub(crate) fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Acquire)
    }

    /// Sets whether this instance reads the store for its data centre.
    pub(crate) fn set_reader(&self, is_reader: bool, reason: &str) {
        if self.is_reader.swap(is_reader, Ordering::AcqRel) != is_reader {
            slog::info!(self.log, "reader: the role changed"; "reads" => is_reader, "why" => reason);
        }
    }

    /// Returns whether this instance has lately failed to read the store.
    pub(crate) fn store_failed_recently(&self) -> bool {
        self.now().as_micros() < self.store_failed_until.load(Ordering::Acquire)
    }

    /// Notes that a call of the store failed. Others are to read for a while.
    pub(crate) fn record_store_failure(&self) {
        const STORE_FAILURE_TTL: Duration = Duration::from_secs(2);
        let now = self.now();
        self.reset_store_contact();
        let until = now + STORE_FAILURE_TTL;
        self.store_failed_until
            .store(until.as_micros(), Ordering::Release);
    }

    /// Has the store tried with one call before it is called for all.
    pub(crate) fn reset_store_contact(&self) {
        self.store_contact.store(false, Ordering::Release);
    }

    /// Returns whether the last call of the store was answered.
    pub(crate) fn has_store_contact(&self) -> bool {
        self.store_contact.load(Ordering::Acquire)
    }

    /// Notes that a call of the store was answered.
    pub(crate) fn record_store_success(&self) {
        self.store_contact.store(true, Ordering::Release);
        self.store_failed_until.store(0, Ordering::Release);
    }

    /// Notes that the data centre has a reader that the store answers.
    pub(crate) fn record_reader(&self) {
        self.reader_seen_at
            .store(self.now().as_micros(), Ordering::Release);
    }

    /// Returns how long the data centre has had no reader that the store answers.
    pub(crate) fn time_without_reader(&self) -> Duration {
        let at = Instant::from_micros(self.reader_seen_at.load(Ordering::Acquire));
        self.now().since(at)
    }

    /// Returns whether the instance is about to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Notes that the instance is about to stop.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether what the instance knows may be old, as it has not run for a while.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale.load(Ordering::Acquire)
    }

    /// Sets whether what the instance knows may be old.
    pub(crate) fn set_stale(&self, stale: bool) {
        self.stale.store(stale, Ordering::Release);
    }

    /// Returns whether records of all kinds have been read at some time.
    pub(crate) fn has_all_records(&self) -> bool {
        self.view.lock().revisions().iter().all(|r| *r > 0)
    }

    /// Returns why the instance takes no callers.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("it is stopping");
        }
        if self.config.load().is_none() {
            return Some("it knows no configuration");
        }
        if self.view.lock().feed(Kind::Servers).revision() == 0 {
            return Some("it knows no servers");
        }
        None
    }

    /// Takes a change of what the store holds. Returns whether it was news.
    pub(crate) fn apply_delta(&self, kind: Kind, delta: &Delta, source: &str) -> bool {
        let now = self.now();
        let mut view = self.view.lock();
        if !view.apply(kind, delta) {
            return false;
        }
        slog::info!(self.log, "view: records changed"; "kind" => ?kind,
            "revision" => delta.revision, "changes" => delta.changes.len(), "source" => source,
            "records" => view::summary(delta));
        match kind {
            Kind::Config => {
                let config = view.config();
                if let Some(config) = &config {
                    let rates = config
                        .services
                        .iter()
                        .map(|(n, s)| (n.clone(), s.warmup_rate));
                    self.table.lock().set_warmup_rates(rates.collect());
                    slog::info!(self.log, "view: a configuration is in force";
                        "version" => config.version, "routes" => config.routes.len());
                }
                self.config.store(config);
            }
            Kind::Servers => {
                let spare = delta.after_outage;
                self.table.lock().update(view.servers(), spare, now);
            }
            Kind::Orders => {
                let orders = view.orders();
                self.rollouts.lock().set_orders(orders, now);
            }
            Kind::Evacuations => {
                let evacuations: HashSet<String> = view.evacuations();
                slog::info!(self.log, "view: data centres without work";
                    "centres" => ?evacuations);
                self.table.lock().evacuate(evacuations);
            }
        }
        drop(view);
        self.queues.wake_all();
        true
    }

    /// Brings what follows from members and time up to date.
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
        {
            let mut table = self.table.lock();
            table.drop_missing(MISSING_SERVER_TTL, now);
            for (service, version) in bases {
                table.set_base(&service, &version);
            }
            let is_assigned =
                |key: &Key| rendezvous::pick(&boots, key) == Some(&self.identity.boot);
            let centre = &self.identity.centre;
            table.lending.keep_lenders(&lenders);
            let all = table.backends().filter(|(key, _)| is_assigned(key));
            let watched: HashSet<Key> = all.map(|(key, _)| key).collect();
            let own = table.backends().filter(|(_, b)| b.server.centre == *centre);
            // Only its own data centre feeds a cold server, so that there is one feeder.
            let warming = own.map(|(key, _)| key).filter(|key| watched.contains(key));
            let warming: HashSet<Key> = warming.collect();
            table.set_fed(warming);
            table.set_watched(watched);
        }
        self.budget.lock().share_among(count);
    }
}
