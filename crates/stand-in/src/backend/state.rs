//! State shared by the connections and the handle of a backend stand-in.
//!
//! Lock order: no lock is taken while another is held.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use clock::{Boottime, Clock};
use parking_lot::Mutex;
use smol::channel::Sender;

use super::fault::Rules;
use super::incarnation::Incarnation;
use super::report::{Report, Reports};
use super::{Config, Counts, Fault, Rule};

/// Settings that can change while the server runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Settings {
    pub(super) slowdown: f64,
    pub(super) leaving: bool,
    pub(super) shedding: bool,
    pub(super) health: Option<bool>,
}

/// The current incarnation and the sender whose drop ends it.
type Current = (Arc<Incarnation>, Option<Sender<()>>);

/// State shared by the connections and the handle.
#[derive(Debug)]
pub(super) struct State {
    pub(super) config: Config,
    current: Mutex<Current>,
    settings: Mutex<Settings>,
    rules: Mutex<Rules>,
    counts: Mutex<Counts>,
    executions: Mutex<HashMap<String, u64>>,
    reports: Mutex<Reports>,
    stopped: AtomicBool,
}

impl State {
    pub(super) fn new(config: Config) -> Self {
        let (incarnation, sender) = Incarnation::start(config.warmup, config.slots);
        let settings = Settings {
            slowdown: 1.0,
            leaving: false,
            shedding: false,
            health: None,
        };
        Self {
            config,
            current: Mutex::new((incarnation, Some(sender))),
            settings: Mutex::new(settings),
            rules: Mutex::default(),
            counts: Mutex::default(),
            executions: Mutex::default(),
            reports: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    pub(super) fn incarnation(&self) -> Arc<Incarnation> {
        Arc::clone(&self.current.lock().0)
    }

    pub(super) fn settings(&self) -> Settings {
        *self.settings.lock()
    }

    pub(super) fn update_settings<F>(&self, update: F)
    where
        F: FnOnce(&mut Settings),
    {
        update(&mut self.settings.lock());
    }

    pub(super) fn set_rules(&self, rules: Vec<Rule>) {
        *self.rules.lock() = Rules::new(rules);
    }

    pub(super) fn add_rule(&self, rule: Rule) {
        self.rules.lock().push(rule);
    }

    pub(super) fn next_fault(&self, target: &str) -> Option<Fault> {
        self.rules.lock().next(target)
    }

    pub(super) fn counts(&self) -> Counts {
        *self.counts.lock()
    }

    pub(super) fn update_counts<F>(&self, update: F)
    where
        F: FnOnce(&mut Counts),
    {
        update(&mut self.counts.lock());
    }

    pub(super) fn executions(&self, key: &str) -> u64 {
        self.executions.lock().get(key).copied().unwrap_or(0)
    }

    pub(super) fn executions_by_key(&self) -> HashMap<String, u64> {
        self.executions.lock().clone()
    }

    /// Records an execution. Called before its work starts.
    pub(super) fn record_execution(&self, key: Option<&str>) {
        self.update_counts(|counts| counts.executions += 1);
        let Some(key) = key else {
            return;
        };
        let repeated = {
            let mut executions = self.executions.lock();
            let executed = executions.entry(key.to_owned()).or_default();
            *executed += 1;
            *executed > 1
        };
        if repeated {
            self.update_counts(|counts| counts.repeats += 1);
        }
    }

    /// Returns the published load report, and takes a new sample once the last is older than
    /// `report_lag`.
    pub(super) fn report(&self) -> Report {
        let now = Boottime.now();
        let sample = Report {
            in_flight: self.incarnation().in_flight(),
            slots: self.config.slots,
        };
        let mut reports = self.reports.lock();
        if now - reports.sampled_at >= self.config.report_lag {
            reports.published = reports.next;
            reports.next = sample;
            reports.sampled_at = now;
        }
        reports.published
    }

    /// Ends the current incarnation, which drops its connections and stops accepting new ones.
    pub(super) fn crash(&self) {
        if self.current.lock().1.take().is_some() {
            self.update_counts(|counts| counts.crashes += 1);
        }
    }

    /// Ends the current incarnation and prevents a restart.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.current.lock().1 = None;
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Starts a new incarnation after a crash.
    pub(super) fn restart(&self) {
        let (incarnation, sender) = Incarnation::start(self.config.warmup, self.config.slots);
        *self.current.lock() = (incarnation, Some(sender));
    }

    /// Replaces the current incarnation by a cold one and keeps its connections.
    pub(super) fn restart_cold(&self) {
        let mut current = self.current.lock();
        current.0 = current.0.cold_successor(self.config.slots);
    }
}
