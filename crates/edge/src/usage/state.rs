//! The counts of this instance, and those that it collects.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use arc_swap::ArcSwap;
use balance::usage::{self, Attempt, Attempts, Collector, Counter, Message, Ranking};
use balance::wall_clock::WallClock;
use clock::{Clock, Instant};
use parking_lot::Mutex;

use crate::headers::{Codec, Tenancy};
use crate::node::Node;
use crate::settings::UsageDuty;
use crate::store::Store;

/// A request whose usage is counted.
#[derive(Debug, Default)]
pub(crate) struct Request {
    /// The tenant of the attempts, known when the first one is sent.
    tenant: OnceLock<Box<str>>,
    attempts: Mutex<Attempts>,
}

/// The counts of this instance, and those that it collects.
#[derive(Debug)]
pub(crate) struct State {
    /// The length of a window, if there is a duty to report usage. Fixed at the start.
    pub(super) window: Option<Duration>,
    pub(super) wall_clock: Mutex<WallClock>,
    pub(super) counter: Mutex<Counter>,
    pub(super) collector: Mutex<Collector>,
    pub(super) ranking: Mutex<Ranking>,
    /// The collectors of the data centre with their addresses, the first one first.
    pub(super) collectors: ArcSwap<Vec<(u64, SocketAddr)>>,
}

impl State {
    /// Returns the state of an instance that starts.
    pub(crate) fn new<C>(duty: Option<&UsageDuty>, clock: &C) -> Self
    where
        C: Clock,
    {
        Self {
            window: duty.map(|duty| duty.window),
            wall_clock: Mutex::new(WallClock::new(clock.time_of_day(), clock.now())),
            counter: Mutex::default(),
            collector: Mutex::default(),
            ranking: Mutex::default(),
            collectors: ArcSwap::default(),
        }
    }

    /// Returns the true time at `at`, since the start of 1970.
    pub(crate) fn time(&self, at: Instant) -> Duration {
        self.wall_clock.lock().time(at)
    }

    /// Returns the window at `now`.
    pub(super) fn current(&self, length: Duration, now: Instant) -> u64 {
        usage::window(self.time(now), length)
    }

    /// Returns the addresses of the collectors.
    pub(crate) fn collectors(&self) -> Vec<SocketAddr> {
        let collectors = self.collectors.load();
        collectors.iter().map(|(_, address)| *address).collect()
    }
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns the usage of a request, if it is to be counted.
    pub(crate) fn new_usage(&self) -> Option<Request> {
        self.tenant_usage.window.map(|_| Request::default())
    }

    /// Counts an attempt of `request` that is sent now, with this tenancy. It stays counted unless it is
    /// withdrawn. All attempts of a request are sent for one tenant.
    pub(crate) fn count_usage(&self, request: &Request, tenancy: Tenancy<'_>) -> Option<Attempt> {
        let Tenancy::Tenant(tenant) = tenancy else {
            return None;
        };
        let tenant = request.tenant.get_or_init(|| tenant.into());
        let usage = &self.tenant_usage;
        let now = self.now();
        let window = usage.current(usage.window?, now);
        let mut attempts = request.attempts.lock();
        if attempts.window().is_none() {
            self.metrics.counted_usage();
        }
        let mut counter = usage.counter.lock();
        Some(counter.begin(&mut attempts, tenant, window, now))
    }

    /// Withdraws an attempt of `request` that is known not to have run.
    pub(crate) fn withdraw_usage(&self, request: &Request, attempt: Attempt) {
        let Some(tenant) = request.tenant.get() else {
            return;
        };
        let now = self.now();
        let mut attempts = request.attempts.lock();
        let mut counter = self.tenant_usage.counter.lock();
        if counter.withdraw(&mut attempts, attempt, tenant, now) {
            self.metrics.withdrawn_usage();
        }
    }

    /// Returns the machine's time of day for a heartbeat, if it is needed.
    pub(crate) fn announced_time(&self) -> Option<Duration> {
        self.tenant_usage.window.map(|_| self.clock.time_of_day())
    }

    /// Records the time of day in a heartbeat of another instance.
    pub(crate) fn record_time(&self, instance: u64, time_of_day: Option<Duration>) {
        if let Some(time_of_day) = time_of_day.filter(|_| self.tenant_usage.window.is_some()) {
            let mut clock = self.tenant_usage.wall_clock.lock();
            clock.record(instance, time_of_day, self.now());
        }
    }

    /// Records the counts of an instance of this data centre.
    pub(crate) fn record_usage(&self, instance: u64, message: &Message) {
        let usage = &self.tenant_usage;
        let Some(length) = usage.window else {
            return;
        };
        let current = usage.current(length, self.now());
        let is_kept = usage.collector.lock().record(instance, message, current);
        self.metrics.received_usage(is_kept);
        if !is_kept {
            if let Some(suppressed) = self.limits.datagrams.pass(self.now()) {
                slog::warn!(self.log, "usage: counts of a window that is not kept";
                    "instance" => instance, "window" => message.window, "current" => current,
                    "suppressed" => suppressed);
            }
        }
    }
}
