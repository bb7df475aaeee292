//! A receiver of reports in memory, which checks what it gets.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use balance::duty::Generation;
use balance::usage::Report;
use clock::{Clock, Instant, Manual};
use edge::duty::Error;

use super::fleet::LEASE_TIME;

/// A receiver that accepts all reports.
pub(crate) struct AcceptingReceiver;

impl edge::duty::Receiver for AcceptingReceiver {
    async fn report(
        &self,
        _report: &Report,
        _holder: &str,
        _generation: Generation,
        _limit: Duration,
    ) -> Result<(), Error> {
        Ok(())
    }
}

/// What the receiver does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Mode {
    #[default]
    Up,
    /// Calls are refused.
    Busy,
    /// Calls get no response and have no effect.
    Silent,
    /// Calls have an effect, but get no response.
    LosingResponses,
}

/// A report that was accepted.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    pub(super) at: Instant,
    pub(super) holder: String,
    pub(super) generation: Generation,
    pub(super) report: Report,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    accepted: Vec<Accepted>,
    calls: Vec<Instant>,
    cut: Vec<usize>,
}

/// A receiver of reports in memory, as one instance reaches it.
#[derive(Clone, Debug)]
pub(super) struct Receiver {
    clock: Manual,
    index: usize,
    state: Arc<Mutex<State>>,
}

impl Receiver {
    pub(super) fn new(clock: Manual) -> Self {
        Self {
            clock,
            index: 0,
            state: Arc::default(),
        }
    }

    /// Returns the receiver as the instance `index` reaches it.
    pub(super) fn of(&self, index: usize) -> Self {
        Self {
            index,
            ..self.clone()
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub(super) fn set(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Cuts instances off.
    pub(super) fn set_cut(&self, instances: &[usize]) {
        self.state().cut = instances.to_vec();
    }

    /// Returns the number of reports that were accepted.
    pub(super) fn accepted(&self) -> usize {
        self.state().accepted.len()
    }

    pub(super) fn reports(&self) -> Vec<Accepted> {
        self.state().accepted.clone()
    }

    /// Returns the times of all calls.
    pub(super) fn calls(&self) -> Vec<Instant> {
        self.state().calls.clone()
    }

    /// Returns when each window was first accepted.
    pub(super) fn first_times(&self) -> BTreeMap<u64, Instant> {
        let mut times = BTreeMap::new();
        for accepted in &self.state().accepted {
            times.entry(accepted.report.window).or_insert(accepted.at);
        }
        times
    }

    /// Checks what must never happen.
    pub(super) fn check(&self) {
        let accepted = self.reports();
        let mut counts: BTreeMap<u64, &BTreeMap<String, u64>> = BTreeMap::new();
        let mut last: BTreeMap<&str, (usize, Instant)> = BTreeMap::new();
        for (i, a) in accepted.iter().enumerate() {
            let known = *counts.entry(a.report.window).or_insert(&a.report.counts);
            assert_eq!(known, &a.report.counts, "window {}", a.report.window);
            if let Some(before) = i.checked_sub(1).map(|b| &accepted[b]) {
                assert!(
                    a.generation >= before.generation,
                    "the generation decreased"
                );
                if a.generation == before.generation {
                    assert_eq!(a.holder, before.holder, "two holders of one generation");
                }
            }
            if let Some((index, at)) = last.insert(&a.holder, (i, a.at)) {
                let is_successive = index + 1 == i;
                let is_apart = a.at.since(at) >= LEASE_TIME;
                assert!(is_successive || is_apart, "holders A, B, A within a lease");
            }
        }
    }
}

impl edge::duty::Receiver for Receiver {
    async fn report(
        &self,
        report: &Report,
        holder: &str,
        generation: Generation,
        _limit: Duration,
    ) -> Result<(), Error> {
        self.clock.sleep(Duration::from_millis(20)).await;
        let mode = {
            let mut state = self.state();
            let now = self.clock.now();
            state.calls.push(now);
            let is_cut = state.cut.contains(&self.index);
            let mode = if is_cut { Mode::Silent } else { state.mode };
            if matches!(mode, Mode::Up | Mode::LosingResponses) {
                state.accepted.push(Accepted {
                    at: now,
                    holder: holder.to_owned(),
                    generation,
                    report: report.clone(),
                });
            }
            mode
        };
        match mode {
            Mode::Up => Ok(()),
            Mode::Busy => Err(Error::Refused(429)),
            Mode::Silent | Mode::LosingResponses => std::future::pending().await,
        }
    }
}
