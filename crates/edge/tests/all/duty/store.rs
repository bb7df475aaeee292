//! A store in memory that has only the object of the duty.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use balance::duty::{Condition, Object, Outcome, Reading, Stored, Write};
use balance::order::{Order, Progress};
use balance::record::Kind;
use balance::replica::Delta;
use balance::usage::Report;
use client::Received;
use clock::{Clock, Instant, Manual};
use edge::store::{Check, Error, WatchResponse};

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Mode {
    #[default]
    Up,
    /// Calls are refused.
    Busy,
    /// Writes take effect, but get no response.
    LosingResponses,
    /// Writes get no response, and take effect after this time if their condition holds then.
    Late(Duration),
    /// Calls take this time.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    era: u64,
    revision: u64,
    stored: Option<Stored>,
    /// Past states, by the time until which they lasted.
    past: Vec<(Instant, u64, Option<Stored>)>,
    late: Vec<(Instant, Write)>,
    cut: Vec<usize>,
    calls: u64,
    writes: Vec<Object>,
}

impl State {
    fn write(&mut self, write: &Write, now: Instant) -> Outcome {
        let era = self.era;
        let holds = match (write.condition, &self.stored) {
            (Condition::Absent, stored) => stored.is_none(),
            (Condition::Revision(revision), stored) => {
                stored.as_ref().is_some_and(|s| s.revision == revision)
            }
        };
        if !holds {
            return Outcome::Conflict { era };
        }
        self.past.push((now, self.revision, self.stored.clone()));
        self.revision += 1;
        self.writes.push(write.object.clone());
        let revision = self.revision;
        self.stored = Some(Stored {
            revision,
            object: write.object.clone(),
        });
        Outcome::Written { era, revision }
    }

    fn apply_late(&mut self, now: Instant) {
        let (due, rest) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = rest;
        for (_, write) in due {
            self.write(&write, now);
        }
    }
}

/// A store in memory, as one instance reaches it.
#[derive(Clone, Debug)]
pub(super) struct Store {
    clock: Manual,
    index: usize,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub(super) fn new(clock: Manual) -> Self {
        Self {
            clock,
            index: 0,
            state: Arc::default(),
        }
    }

    /// Returns the store as the instance `index` reaches it.
    pub(super) fn of(&self, index: usize) -> Self {
        Self {
            index,
            ..self.clone()
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        state.apply_late(self.clock.now());
        state
    }

    pub(super) fn set(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Cuts instances off.
    pub(super) fn set_cut(&self, instances: &[usize]) {
        self.state().cut = instances.to_vec();
    }

    /// Returns the number of calls so far.
    pub(super) fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns the object.
    pub(super) fn object(&self) -> Option<Object> {
        self.state().stored.as_ref().map(|s| s.object.clone())
    }

    /// Restores the state that the store had some time ago.
    pub(super) fn restore(&self, age: Duration) {
        let at = self.clock.now().before(age);
        let mut state = self.state();
        let past = state.past.iter().find(|(until, ..)| *until > at).cloned();
        if let Some((_, revision, stored)) = past {
            state.revision = revision;
            state.stored = stored;
        }
        state.era += 1;
        state.past.clear();
    }

    /// Waits as long as a call takes. Returns the mode that it meets.
    async fn begin(&self) -> Result<Mode, Error> {
        let mode = self.state().mode;
        let time = match mode {
            Mode::Slow(time) => time,
            _ => Duration::from_millis(10),
        };
        self.clock.sleep(time).await;
        let is_cut = {
            let mut state = self.state();
            state.calls += 1;
            state.cut.contains(&self.index)
        };
        if is_cut {
            std::future::pending::<()>().await;
        }
        if mode == Mode::Busy {
            return Err(Error::Refused(503));
        }
        Ok(mode)
    }
}

impl edge::store::Store for Store {
    async fn list(&self, _kind: Kind) -> Result<Delta, Error> {
        std::future::pending().await
    }

    async fn watch(
        &self,
        _kind: Kind,
        _after: u64,
        _wait: Duration,
        _received: &Received,
    ) -> Result<WatchResponse, Error> {
        std::future::pending().await
    }

    async fn check(&self, _: Kind, _: u64, _: Duration) -> Result<Check, Error> {
        std::future::pending().await
    }

    fn close_idle(&self) {}

    async fn report_progress(&self, _: &Order, _: Progress) -> Result<(), Error> {
        std::future::pending().await
    }

    async fn read_usage(&self, _centre: &str) -> Result<Option<Vec<Report>>, Error> {
        Ok(None)
    }

    async fn write_usage(&self, _centre: &str, _reports: &[Report]) -> Result<(), Error> {
        Ok(())
    }

    async fn read_duty(&self) -> Result<Reading, Error> {
        self.begin().await?;
        let state = self.state();
        Ok(Reading {
            era: state.era,
            stored: state.stored.clone(),
        })
    }

    async fn write_duty(&self, write: &Write) -> Result<Outcome, Error> {
        let mode = self.begin().await?;
        let now = self.clock.now();
        if let Mode::Late(delay) = mode {
            self.state().late.push((now + delay, write.clone()));
            return std::future::pending().await;
        }
        let outcome = self.state().write(write, now);
        if mode == Mode::LosingResponses {
            return std::future::pending().await;
        }
        Ok(outcome)
    }

    fn era(&self) -> Option<u64> {
        let state = self.state();
        (state.calls > 0).then_some(state.era)
    }
}
