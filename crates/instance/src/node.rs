//! The state shared by the tasks of one instance.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use client::ConnectionPool;
use clock::{Clock, Instant};
use membership::duty::Duty;
use membership::member::Member;
use membership::takeover;
use parking_lot::Mutex;
use platform::Store;
use policy::{pool, quarantine, retry, ticket};
use slog::Logger;
use smol::channel::{Receiver, Sender};

use crate::bundle::Archive;
use crate::calls::Calls;
use crate::claims;
use crate::entry::{Latencies, Outbox};
use crate::holdings::Holdings;
use crate::lease;
use crate::link::Links;
use crate::log::Alarms;
use crate::moves;
use crate::owner;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use crate::view::View;

/// The longest time limit of a route before a bundle is in force.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(2);

/// The length of a lease divided by this bounds the drift between the clocks of two instances
/// during the lease.
const DRIFT_DIVISOR: u32 = 50;

/// The retries that each call adds to the budget.
const RETRY_SHARE: f64 = 0.1;

/// The most retries that the budget holds.
const RETRY_BURST: u32 = 20;

/// The state shared by the tasks of one instance.
///
/// Lock order: [`Node::leases`], [`Node::volatile`], [`Node::pools`], [`Node::claims`],
/// [`Node::moves`]; `last_held_duties` comes last. None is held across an `await`.
pub struct Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// The settings.
    pub settings: Settings,
    /// The platform.
    pub store: S,
    /// The clock.
    pub clock: C,
    /// The log.
    pub log: Logger,
    /// The duties that were held at the last heartbeat.
    pub(crate) last_held_duties: Mutex<Vec<Duty>>,
    /// Conditions and events whose log records are limited.
    pub alarms: Alarms,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// This instance as a member.
    pub me: Member,
    /// The current bundle, roster and backend servers.
    pub view: View,
    /// Links to other instances.
    pub links: Links<C>,
    /// Idle connections to backend servers.
    pub connections: ConnectionPool<C>,
    /// The state of the leases.
    pub leases: Mutex<lease::Table>,
    /// The pools that this instance acts on.
    pub pools: Mutex<owner::Table>,
    /// The credits that this instance holds.
    pub holdings: Holdings,
    /// Returned credits and withdrawn tickets that are to be sent.
    pub outbox: Outbox,
    /// The number of calls in flight.
    pub calls: Calls,
    /// The shards that this instance acts on.
    pub claims: Mutex<claims::Table>,
    /// The instances that may hold claims only in memory.
    pub volatile: Mutex<claims::Volatile>,
    pub(crate) shard_wakers: Vec<(Sender<()>, Receiver<()>)>,
    /// The status of rollouts.
    pub moves: Mutex<moves::Table>,
    /// The bundle in force.
    pub(crate) bundles: Archive,
    /// The requests that are suspected of crashing backend servers.
    pub quarantine: Mutex<quarantine::Table>,
    /// The mean latency of each route.
    pub(crate) latencies: Latencies,
    /// The retry budget.
    pub retries: Mutex<retry::Budget>,
    /// The revision of the roster in the store, 0 if there is none.
    pub roster_revision: AtomicU64,
    /// Whether the roster has been read from the store.
    pub roster_loaded: AtomicBool,
    /// Whether the last watch or read of the roster succeeded.
    pub store_reachable: AtomicBool,
    run_id: u32,
    tickets: AtomicU64,
    stopping: AtomicBool,
    heartbeat_waker: Sender<()>,
    heartbeat_wakes: Receiver<()>,
}

impl<S, C> Node<S, C>
where
    S: Store,
    C: Clock,
{
    /// Returns the shared state of an instance that other instances reach at `address`.
    pub fn new(
        settings: Settings,
        store: S,
        clock: C,
        log: Logger,
        address: SocketAddr,
        telemetry: Telemetry,
    ) -> Arc<Self> {
        let times = settings.times;
        let name = settings.name.clone();
        let me = Member {
            name,
            address,
            centre: settings.centre.clone(),
        };
        let run_id = hash_run(&me);
        let pool_config = pool::Config::default()
            .credit_ttl(times.credit)
            .queue_limit(settings.limits.queue);
        let (heartbeat_waker, heartbeat_wakes) = smol::channel::bounded(1);
        Arc::new(Self {
            links: Links::new(settings.key.clone(), clock.clone(), times.peer),
            connections: ConnectionPool::new(clock.clone(), settings.limits.idle_connections),
            leases: Mutex::new(lease::Table::new(me.clone(), takeover_limits(&settings))),
            pools: Mutex::new(owner::Table::new(pool_config, run_id)),
            view: View::default(),
            holdings: Holdings::default(),
            outbox: Outbox::default(),
            calls: Calls::default(),
            quarantine: Mutex::new(quarantine::Table::new()),
            latencies: Latencies::default(),
            claims: Mutex::default(),
            moves: Mutex::default(),
            volatile: Mutex::default(),
            shard_wakers: (0..claims::SHARDS)
                .map(|_| smol::channel::bounded(1))
                .collect(),
            bundles: Archive::new(settings.signers.clone()),
            retries: Mutex::new(retry::Budget::new(RETRY_SHARE, RETRY_BURST)),
            roster_revision: AtomicU64::new(0),
            roster_loaded: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            tickets: AtomicU64::new(u64::from(run_id) << 32),
            stopping: AtomicBool::new(false),
            settings,
            store,
            clock,
            log,
            last_held_duties: Mutex::default(),
            alarms: Alarms::default(),
            telemetry,
            me,
            run_id,
            heartbeat_waker,
            heartbeat_wakes,
        })
    }

    /// Returns a ticket number that no other instance uses.
    pub fn next_ticket(&self) -> ticket::Id {
        ticket::Id(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a number that differs between runs of instances.
    pub fn run_id(&self) -> u32 {
        self.run_id
    }

    /// Returns whether the instance is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Marks the instance as about to stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Makes the next heartbeat due at once.
    pub fn wake_heartbeat(&self) {
        // If the channel is full, a wake-up is already pending.
        let _full = self.heartbeat_waker.try_send(());
    }

    /// Completes after [`Self::wake_heartbeat`].
    pub(crate) async fn heartbeat_woken(&self) {
        if self.heartbeat_wakes.recv().await.is_err() {
            std::future::pending().await
        }
    }

    /// Returns the greatest drift between the clocks of two instances during a lease.
    pub fn drift_margin(&self) -> Duration {
        drift_margin(&self.settings)
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

fn drift_margin(settings: &Settings) -> Duration {
    settings.times.lease / DRIFT_DIVISOR
}

fn takeover_limits(settings: &Settings) -> takeover::Limits {
    let times = settings.times;
    takeover::Limits {
        lease: times.lease,
        margin: drift_margin(settings),
        credit_ttl: times.credit,
        time_limit: DEFAULT_TIME_LIMIT,
    }
}

fn hash_run(me: &Member) -> u32 {
    let mut hasher = DefaultHasher::new();
    me.name.hash(&mut hasher);
    // The upper half of the hash; the lower half counts tickets and credits.
    (hasher.finish() >> 32) as u32
}
