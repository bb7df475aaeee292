//! What the tasks of one instance share.

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

/// The longest time limit that a route may have until a bundle says otherwise.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(2);

/// The part of a lease by which clocks of two instances may drift apart within it.
const DRIFT_PART: u32 = 50;

/// The retries allowed for each call.
const RETRY_SHARE: f64 = 0.1;

/// The retries allowed at once.
const RETRY_BURST: u32 = 20;

/// What the tasks of one instance share.
///
/// Lock order: [`Node::leases`], [`Node::volatile`], [`Node::desks`], [`Node::claims`],
/// [`Node::moves`]; the duties seen last come after all. None is held across an `await`.
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
    pub(crate) duties_seen: Mutex<Vec<Duty>>,
    /// Conditions that are recorded once.
    pub alarms: Alarms,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// This instance as a member.
    pub me: Member,
    /// What is known of the world.
    pub view: View,
    /// Links to other instances.
    pub links: Links<C>,
    /// Idle connections to backend servers.
    pub connections: ConnectionPool<C>,
    /// The state of leases.
    pub leases: Mutex<lease::Table>,
    /// The pools that this instance acts on.
    pub desks: Mutex<owner::Table>,
    /// The credits that this instance holds.
    pub holdings: Holdings,
    /// Credits on their way back.
    pub outbox: Outbox,
    /// The calls under way.
    pub calls: Calls,
    /// The shards that this instance acts on.
    pub claims: Mutex<claims::Table>,
    /// Who may hold claims in memory alone.
    pub volatile: Mutex<claims::Volatile>,
    pub(crate) shard_wakers: Vec<(Sender<()>, Receiver<()>)>,
    /// What is known of moves.
    pub moves: Mutex<moves::Table>,
    /// The bundle in force.
    pub(crate) bundles: Archive,
    /// The requests that are suspected of ending backend servers.
    pub quarantine: Mutex<quarantine::Table>,
    /// The usual latency of routes.
    pub(crate) latencies: Latencies,
    /// The retries that the traffic allows.
    pub retries: Mutex<retry::Budget>,
    /// The revision of the roster in the store, 0 where there is none.
    pub roster_revision: AtomicU64,
    /// Whether the roster was read from the store.
    pub roster_known: AtomicBool,
    /// Whether the store answered last.
    pub store_reachable: AtomicBool,
    run: u32,
    tickets: AtomicU64,
    stopping: AtomicBool,
    wake: Sender<()>,
    woken: Receiver<()>,
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
        let run = run_number(&me);
        let pool_config = pool::Config::default()
            .credit_ttl(times.credit)
            .queue_limit(settings.limits.queue);
        let (wake, woken) = smol::channel::bounded(1);
        Arc::new(Self {
            links: Links::new(settings.key.clone(), clock.clone(), times.peer),
            connections: ConnectionPool::new(clock.clone(), settings.limits.idle_connections),
            leases: Mutex::new(lease::Table::new(me.clone(), takeover_limits(&settings))),
            desks: Mutex::new(owner::Table::new(pool_config, run)),
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
            roster_known: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            tickets: AtomicU64::new(u64::from(run) << 32),
            stopping: AtomicBool::new(false),
            settings,
            store,
            clock,
            log,
            duties_seen: Mutex::default(),
            alarms: Alarms::default(),
            telemetry,
            me,
            run,
            wake,
            woken,
        })
    }

    /// Returns a ticket number that no other instance uses.
    pub fn next_ticket(&self) -> ticket::Id {
        ticket::Id(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns a number that differs between runs of instances.
    pub fn run(&self) -> u32 {
        self.run
    }

    /// Returns whether the instance is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Notes that the instance is about to stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Makes the next heartbeat due at once.
    pub fn wake(&self) {
        // A full channel wakes the task all the same.
        let _full = self.wake.try_send(());
    }

    /// Completes after [`Self::wake`].
    pub(crate) async fn woken(&self) {
        if self.woken.recv().await.is_err() {
            std::future::pending().await
        }
    }

    /// Returns the most that the clocks of two instances drift apart during a lease.
    pub fn drift_margin(&self) -> Duration {
        drift_margin(&self.settings)
    }

    /// Returns the present instant.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}

fn drift_margin(settings: &Settings) -> Duration {
    settings.times.lease / DRIFT_PART
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

fn run_number(me: &Member) -> u32 {
    let mut hasher = DefaultHasher::new();
    me.name.hash(&mut hasher);
    // The upper half of the hash; the lower half counts tickets and credits.
    (hasher.finish() >> 32) as u32
}
