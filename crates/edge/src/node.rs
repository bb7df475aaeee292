//! What the tasks of an instance share.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use balance::budget::Budget;
use balance::config::Config;
use balance::demand::Demand;
use balance::record::Kind;
use balance::rendezvous;
use balance::replica::Delta;
use balance::server::Key;
use balance::table::Table;
use balance::turn::Turns;
use client::ConnectionPool;
use clock::{Clock, Instant};
use parking_lot::Mutex;
use slog::Logger;

use crate::forward::{Waiting, Work};
use crate::gossip::{Event, Identity, Members, Message, Port};
use crate::headers::Codec;
use crate::log::Limiter;
use crate::metrics::Metrics;
use crate::moves::Moves;
use crate::prober::Probes;
use crate::settings::Settings;
use crate::signal::Signal;
use crate::store::Store;
use crate::view::{self, Knowledge};

/// The idle connections that are kept to one server.
const IDLE_CONNECTIONS: usize = 8;

/// How long a server whose entry lapsed is kept.
const LAPSE_PATIENCE: Duration = Duration::from_secs(2);

/// Limits on log records that others can cause as often as they like.
#[derive(Debug)]
pub(crate) struct Limits {
    pub(crate) datagrams: Limiter,
    pub(crate) served: Limiter,
    pub(crate) refused: Limiter,
    pub(crate) failed: Limiter,
    pub(crate) retried: Limiter,
    pub(crate) probes: Limiter,
    pub(crate) store: Limiter,
}

impl Limits {
    fn new() -> Self {
        // Each refused, retried or failed request has its line up to a hundred a second; of those
        // served without ado a few are enough.
        let troubled = || Limiter::new(Duration::from_millis(10));
        Self {
            datagrams: Limiter::new(Duration::from_secs(1)),
            served: Limiter::new(Duration::from_secs(1)),
            refused: troubled(),
            failed: troubled(),
            retried: troubled(),
            probes: Limiter::new(Duration::from_millis(100)),
            store: Limiter::new(Duration::from_millis(250)),
        }
    }
}

/// What the tasks of an instance share.
pub struct Node<S, H, C> {
    pub(crate) me: Identity,
    pub(crate) settings: ArcSwap<Settings>,
    pub(crate) store: S,
    pub(crate) codec: H,
    pub(crate) clock: C,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) port: Port,
    pub(crate) knowledge: Mutex<Knowledge>,
    pub(crate) members: Mutex<Members>,
    pub(crate) moves: Mutex<Moves>,
    pub(crate) table: Mutex<Table>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) demand: Mutex<Demand>,
    pub(crate) turns: Mutex<Turns>,
    pub(crate) config: ArcSwapOption<Config>,
    pub(crate) addresses: ArcSwap<Vec<SocketAddr>>,
    pub(crate) idle: ConnectionPool<C>,
    pub(crate) waiting: Waiting,
    pub(crate) work: Work,
    pub(crate) limits: Limits,
    /// Events that are to be told.
    pub(crate) outbox: Mutex<Vec<Event>>,
    /// Wakes the task that tells events.
    pub(crate) announced: Signal,
    pub(crate) probes: Probes,
    /// Wakes the task that asks others for changes.
    pub(crate) lag: Signal,
    reads: AtomicBool,
    contact: AtomicBool,
    cut_off_until: AtomicU64,
    read_at: AtomicU64,
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
        port: Port,
    ) -> Self {
        let me = Identity {
            boot: fastrand::u64(1..),
            address: settings.peers,
            centre: settings.centre.clone(),
        };
        // Until others are heard, the instance takes the smallest share that a large fleet has.
        const UNKNOWN_FLEET: usize = 100;
        Self {
            members: Mutex::new(Members::new(me.clone())),
            table: Mutex::new(Table::new(me.boot, &settings.centre)),
            budget: Mutex::new(Budget::new(settings.bounds.retries, UNKNOWN_FLEET)),
            idle: ConnectionPool::new(clock.clone(), IDLE_CONNECTIONS),
            demand: Mutex::default(),
            turns: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
            knowledge: Mutex::default(),
            moves: Mutex::default(),
            config: ArcSwapOption::empty(),
            addresses: ArcSwap::default(),
            waiting: Waiting::default(),
            work: Work::default(),
            limits: Limits::new(),
            outbox: Mutex::default(),
            announced: Signal::new(),
            probes: Probes::new(),
            lag: Signal::new(),
            reads: AtomicBool::new(false),
            contact: AtomicBool::new(false),
            cut_off_until: AtomicU64::new(0),
            read_at: AtomicU64::new(clock.now().as_micros()),
            stopping: AtomicBool::new(false),
            stale: AtomicBool::new(false),
            me,
            store,
            codec,
            clock,
            log,
            metrics,
            port,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Sends a message to other instances.
    pub(crate) fn send(&self, message: &Message, addresses: &[SocketAddr]) {
        let lost = self.port.send(message, addresses);
        self.metrics.datagrams(addresses.len(), lost);
    }

    /// Sends a message to the other instances of the data centre.
    pub(crate) fn tell(&self, message: &Message) {
        let addresses = self.addresses.load();
        self.send(message, &addresses);
    }

    /// Tells the data centre what has happened at a server, within about a millisecond.
    pub(crate) fn announce(&self, event: Event) {
        self.outbox.lock().push(event);
        self.announced.send();
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
        self.reads.load(Ordering::Acquire)
    }

    /// Sets whether this instance reads the store for its data centre.
    pub(crate) fn set_reader(&self, reads: bool, why: &str) {
        if self.reads.swap(reads, Ordering::AcqRel) != reads {
            slog::info!(self.log, "reader: the role changed"; "reads" => reads, "why" => why);
        }
    }

    /// Returns whether this instance has lately failed to read the store.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.now().as_micros() < self.cut_off_until.load(Ordering::Acquire)
    }

    /// Notes that a call of the store failed. Others are to read for a while.
    pub(crate) fn cut_off(&self) {
        const CUT_OFF_FOR: Duration = Duration::from_secs(2);
        let now = self.now();
        self.lose_contact();
        let until = now + CUT_OFF_FOR;
        self.cut_off_until
            .store(until.as_micros(), Ordering::Release);
    }

    /// Has the store tried with one call before it is called for all.
    pub(crate) fn lose_contact(&self) {
        self.contact.store(false, Ordering::Release);
    }

    /// Returns whether the last call of the store was answered.
    pub(crate) fn has_contact(&self) -> bool {
        self.contact.load(Ordering::Acquire)
    }

    /// Notes that a call of the store was answered.
    pub(crate) fn in_contact(&self) {
        self.contact.store(true, Ordering::Release);
        self.cut_off_until.store(0, Ordering::Release);
    }

    /// Notes that the data centre has a reader that the store answers.
    pub(crate) fn note_read(&self) {
        self.read_at
            .store(self.now().as_micros(), Ordering::Release);
    }

    /// Returns how long the data centre has had no reader that the store answers.
    pub(crate) fn unread_for(&self) -> Duration {
        let at = Instant::from_micros(self.read_at.load(Ordering::Acquire));
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
    pub(crate) fn knows_all(&self) -> bool {
        self.knowledge.lock().revisions().iter().all(|r| *r > 0)
    }

    /// Returns why the instance takes no callers.
    pub(crate) fn unready(&self) -> Option<&'static str> {
        if self.is_stopping() {
            return Some("it is stopping");
        }
        if self.config.load().is_none() {
            return Some("it knows no configuration");
        }
        if self.knowledge.lock().feed(Kind::Servers).revision() == 0 {
            return Some("it knows no servers");
        }
        None
    }

    /// Takes a change of what the store holds. Returns whether it was news.
    pub(crate) fn learn(&self, kind: Kind, delta: &Delta, source: &str) -> bool {
        let now = self.now();
        let mut knowledge = self.knowledge.lock();
        if !knowledge.apply(kind, delta) {
            return false;
        }
        slog::info!(self.log, "view: records changed"; "kind" => ?kind,
            "revision" => delta.revision, "changes" => delta.changes.len(), "source" => source,
            "records" => view::summary(delta));
        match kind {
            Kind::Config => {
                let config = knowledge.config();
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
                self.table.lock().update(knowledge.servers(), spare, now);
            }
            Kind::Orders => {
                let orders = knowledge.orders();
                self.moves.lock().take_orders(orders, now);
            }
            Kind::Evacuations => {
                let evacuations: HashSet<String> = knowledge.evacuations();
                slog::info!(self.log, "view: data centres without work";
                    "centres" => ?evacuations);
                self.table.lock().set_evacuated(evacuations);
            }
        }
        drop(knowledge);
        self.waiting.wake_all();
        true
    }

    /// Brings what follows from members and time up to date.
    pub(crate) fn refresh(&self) {
        let now = self.now();
        let (boots, count, lenders) = {
            let members = self.members.lock();
            let lenders = members.lenders(now);
            (members.live_boots(now), members.count(now), lenders)
        };
        let bases = self.moves.lock().bases();
        {
            let mut table = self.table.lock();
            table.drop_missing(LAPSE_PATIENCE, now);
            for (service, version) in bases {
                table.set_base_version(&service, &version);
            }
            let mine = |key: &Key| rendezvous::pick(&boots, key) == Some(&self.me.boot);
            let centre = &self.me.centre;
            table.lending.retain_lenders(&lenders);
            let all = table.backends().filter(|(key, _)| mine(key));
            let watched: HashSet<Key> = all.map(|(key, _)| key).collect();
            let own = table.backends().filter(|(_, b)| b.server.centre == *centre);
            // Only its own data centre feeds a cold server, so that there is one feeder.
            let fed = own.map(|(key, _)| key).filter(|key| watched.contains(key));
            let fed: HashSet<Key> = fed.collect();
            table.set_warming(fed);
            table.set_probed(watched);
        }
        self.budget.lock().observe_instances(count);
    }
}
