//! Instances with a store and a receiver in memory, whose clock the test advances.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use balance::duty::{Generation, Notice};
use clock::{Clock, Instant, Manual};
use edge::duty::{Collected, End, Host, Source, Task};
use edge::settings::UsageDuty;
use smol::LocalExecutor;

use super::receiver::Receiver;
use super::store::Store;

/// The length of a window.
pub(super) const WINDOW: Duration = Duration::from_secs(5);

/// How long after its end a report is due.
pub(super) const DUE_AFTER: Duration = Duration::from_secs(10);

pub(super) const LEASE_TIME: Duration = Duration::from_secs(3);

pub(super) const CALLS_PER_SECOND: f64 = 50.0;

/// The true time at the origin of the clock, on the boundary of a window.
const START: Duration = Duration::from_secs(1_767_225_600);

/// The step by which the clock advances.
const STEP: Duration = Duration::from_millis(10);

/// Returns the settings of the duty to report usage.
pub(crate) fn usage_duty() -> UsageDuty {
    UsageDuty {
        window: WINDOW,
        due_after: DUE_AFTER,
        lease_time: LEASE_TIME,
        thaw: Duration::from_millis(300),
        address: ([127, 0, 0, 1], 1).into(),
        calls_per_second: CALLS_PER_SECOND,
    }
}

/// What the instances know of each other, and what they have recorded.
#[derive(Debug, Default)]
pub(super) struct Network {
    notices: Vec<Vec<Notice>>,
    /// Instances whose messages are lost.
    pub(super) is_cut: Vec<bool>,
    is_stopping: Vec<bool>,
    /// The generation that each instance has as the holder.
    pub(super) generations: Vec<Option<Generation>>,
    /// The windows that were missing or late.
    pub(super) ends: BTreeMap<&'static str, u64>,
}

/// One instance's access to the network.
struct Member {
    index: usize,
    network: Arc<Mutex<Network>>,
}

impl Member {
    fn network(&self) -> MutexGuard<'_, Network> {
        self.network.lock().unwrap()
    }
}

impl Host for Member {
    fn is_candidate(&self) -> bool {
        true
    }

    fn rank(&self) -> u32 {
        self.index as u32
    }

    fn is_stopping(&self) -> bool {
        self.network().is_stopping[self.index]
    }

    fn announce(&self, notice: &Notice) {
        let mut network = self.network();
        for other in 0..network.notices.len() {
            if other != self.index && !network.is_cut[other] && !network.is_cut[self.index] {
                network.notices[other].push(notice.clone());
            }
        }
    }

    fn announcements(&self) -> Vec<Notice> {
        std::mem::take(&mut self.network().notices[self.index])
    }

    fn record_generation(&self, generation: Option<Generation>) {
        self.network().generations[self.index] = generation;
    }

    fn record_windows(&self, windows: u64, end: End) {
        let name = match end {
            End::Sent => "sent",
            End::Late => "late",
            End::Missing => "missing",
        };
        *self.network().ends.entry(name).or_default() += windows;
    }
}

/// Counts that differ between instances and between calls, so that a test notices counts that were
/// determined again.
struct Counts {
    index: usize,
    clock: Manual,
    calls: Mutex<u64>,
}

impl Source for Counts {
    fn unix_time(&self) -> Option<Duration> {
        Some(START + self.clock.now().since(Instant::ZERO))
    }

    async fn collect(&self, _window: u64) -> Option<Collected> {
        self.clock.sleep(Duration::from_millis(50)).await;
        let mut calls = self.calls.lock().unwrap();
        *calls += 1;
        let count = 1000 * self.index as u64 + *calls;
        Some(Collected {
            counts: BTreeMap::from([("cuka620".to_owned(), count)]),
            missing: Vec::new(),
        })
    }
}

struct Instance {
    executor: LocalExecutor<'static>,
    is_frozen: bool,
}

/// Instances with a store and a receiver in memory.
pub(super) struct Fleet {
    pub(super) clock: Manual,
    pub(super) store: Store,
    pub(super) receiver: Receiver,
    pub(super) network: Arc<Mutex<Network>>,
    instances: Vec<Option<Instance>>,
}

impl Fleet {
    /// Starts `count` instances.
    pub(super) fn open(count: usize) -> Self {
        let clock = Manual::new();
        let mut fleet = Self {
            store: Store::new(clock.clone()),
            receiver: Receiver::new(clock.clone()),
            network: Arc::default(),
            instances: Vec::new(),
            clock,
        };
        for index in 0..count {
            {
                let mut network = fleet.network();
                network.notices.push(Vec::new());
                network.is_cut.push(false);
                network.is_stopping.push(false);
                network.generations.push(None);
            }
            fleet.instances.push(None);
            fleet.start(index);
        }
        fleet
    }

    /// Starts an instance, or starts it again without its memory.
    pub(super) fn start(&mut self, index: usize) {
        let task = Task {
            name: format!("front-{index}"),
            settings: usage_duty(),
            store: self.store.of(index),
            receiver: self.receiver.of(index),
            source: Counts {
                index,
                clock: self.clock.clone(),
                calls: Mutex::default(),
            },
            host: Member {
                index,
                network: self.network.clone(),
            },
            clock: self.clock.clone(),
            log: edge::log::discard(),
        };
        self.network().is_stopping[index] = false;
        self.network().generations[index] = None;
        let executor = LocalExecutor::new();
        executor.spawn(task.run()).detach();
        self.instances[index] = Some(Instance {
            executor,
            is_frozen: false,
        });
    }

    /// Ends an instance at once.
    pub(super) fn kill(&mut self, index: usize) {
        self.instances[index] = None;
        self.network().generations[index] = None;
    }

    /// Tells an instance to stop.
    pub(super) fn stop(&mut self, index: usize) {
        self.network().is_stopping[index] = true;
    }

    /// Pauses an instance, or lets it go on.
    pub(super) fn set_frozen(&mut self, index: usize, is_frozen: bool) {
        if let Some(instance) = &mut self.instances[index] {
            instance.is_frozen = is_frozen;
        }
    }

    /// Lets the instances run for this time.
    pub(super) fn run(&mut self, time: Duration) {
        self.run_until(|fleet, started| fleet.clock.now().since(started) >= time);
    }

    /// Lets the instances run until `condition` holds, which is told when they began.
    pub(super) fn run_until(&mut self, condition: impl Fn(&Self, Instant) -> bool) {
        const MAX_STEPS: usize = 20_000;
        let started = self.clock.now();
        for _ in 0..MAX_STEPS {
            for instance in self.instances.iter().flatten().filter(|i| !i.is_frozen) {
                while instance.executor.try_tick() {}
            }
            if condition(self, started) {
                return;
            }
            self.clock.advance(STEP);
        }
        panic!("the condition did not hold in time");
    }

    /// Lets the instances run until one of them is the holder, and has reported a window. Returns
    /// the holder.
    pub(super) fn run_until_reporting(&mut self) -> usize {
        let reported = self.receiver.accepted();
        self.run_until(|fleet, _| fleet.receiver.accepted() > reported);
        self.holder().unwrap()
    }

    pub(super) fn network(&self) -> MutexGuard<'_, Network> {
        self.network.lock().unwrap()
    }

    /// Returns the instance that is the holder, by its own account.
    pub(super) fn holder(&self) -> Option<usize> {
        let generations = self.network().generations.clone();
        let holders = generations.iter().enumerate().filter(|(_, g)| g.is_some());
        holders.max_by_key(|(_, g)| **g).map(|(index, _)| index)
    }

    /// Returns the first window that ends after the start.
    pub(super) fn first_window() -> u64 {
        (START.as_micros() / WINDOW.as_micros()) as u64
    }

    /// Returns when a window ends, by the clock of the test.
    pub(super) fn end_of(window: u64) -> Instant {
        let windows = u32::try_from(window - Self::first_window() + 1).unwrap();
        Instant::ZERO + WINDOW * windows
    }

    /// Checks that the windows from the first one that was reported until the one that is due now
    /// were all reported, and in time.
    pub(super) fn check_all_in_time(&self) {
        let first = self.receiver.first_times();
        let (start, now) = (*first.keys().next().unwrap(), self.clock.now());
        for window in start.. {
            let due_at = Self::end_of(window) + DUE_AFTER;
            if due_at > now {
                break;
            }
            let at = first.get(&window);
            assert!(at.is_some(), "window {window} was not reported");
            assert!(
                at.is_some_and(|at| *at <= due_at),
                "window {window} was late"
            );
        }
    }
}
