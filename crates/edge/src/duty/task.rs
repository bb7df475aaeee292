//! Runs the decisions of one instance.

use std::future::Future;
use std::time::Duration;

use balance::duty::{
    Agent, Call, Context, Delivery, Event, Generation, Limits, Step, Timing, Write,
};
use clock::{Clock, Instant};
use slog::Logger;
use smol::future::or;

use super::announcement::Announcement;
use super::{End, Error, Host, Receiver, Source};
use crate::log::Limiter;
use crate::settings::UsageDuty;
use crate::store::{self, Store};

/// How often announcements and the state of the instance are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest wait.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// The time limit of a call of the store. It is half of the usual lease.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The time limit for collecting counts.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The shortest interval between two log records of failed calls.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the decisions of one instance.
pub struct Task<S, R, U, H, C> {
    /// The name of the instance.
    pub name: String,
    /// The limits of the duty.
    pub settings: UsageDuty,
    /// The platform's store.
    pub store: S,
    /// The platform's receiver of reports.
    pub receiver: R,
    /// Where reports come from.
    pub source: U,
    /// The instance.
    pub host: H,
    /// A clock that includes suspended time.
    pub clock: C,
    /// The log of the instance.
    pub log: Logger,
}

impl<S, R, U, H, C> Task<S, R, U, H, C>
where
    S: Store,
    R: Receiver,
    U: Source,
    H: Host,
    C: Clock,
{
    /// Runs until the future is dropped.
    pub async fn run(self) {
        let announcement = Announcement::default();
        let failures = Limiter::new(LOG_INTERVAL);
        let steps = self.run_steps(&announcement, &failures);
        or(steps, announcement.repeat(&self.host, &self.clock)).await;
    }

    fn timing(&self) -> Timing {
        Timing::new(&Limits {
            window: self.settings.window,
            due_after: self.settings.due_after,
            lease_time: self.settings.lease_time,
            thaw: self.settings.thaw,
            calls_per_second: self.settings.calls_per_second,
        })
    }

    fn context(&self) -> Context {
        Context {
            now: self.clock.now(),
            unix_time: self.source.unix_time(),
            is_candidate: self.host.is_candidate(),
            is_stopping: self.host.is_stopping(),
            rank: self.host.rank(),
            random: fastrand::u64(..),
        }
    }

    async fn run_steps(&self, announcement: &Announcement, failures: &Limiter) {
        let timing = self.timing();
        let mut agent = Agent::new(&self.name, fastrand::u64(..), timing);
        let mut generation = None;
        loop {
            for notice in self.host.announcements() {
                agent.hear(&notice, self.clock.now());
            }
            if let Some(era) = self.store.era() {
                agent.see_era(era, self.clock.now());
            }
            let step = agent.step(&self.context());
            self.publish(&mut agent, &mut generation, &timing, announcement);
            match step {
                Step::Wait(until) => self.wait(until).await,
                Step::Read => {
                    let reading = self.within(STORE_TIMEOUT, self.store.read_duty()).await;
                    let reading = self.log_failure(failures, reading);
                    agent.complete_read(reading, &self.context());
                }
                Step::Write(write) => self.write(&mut agent, write, failures).await,
                Step::Collect(window) => self.collect(&mut agent, window).await,
                Step::Send(call) => self.send(&mut agent, &call, failures).await,
            }
        }
    }

    async fn wait(&self, until: Instant) {
        let now = self.clock.now();
        let until = until.clamp(now + MIN_WAIT, now + CHECK_INTERVAL);
        self.clock.sleep_until(until).await;
    }

    /// Runs a call of the store. Returns `None` if it takes longer than `limit`.
    async fn within<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = Result<T, store::Error>>,
    ) -> Result<T, store::Error> {
        let timeout = async {
            self.clock.sleep(limit).await;
            Err(store::Error::TimedOut { limit, received: 0 })
        };
        or(call, timeout).await
    }

    fn log_failure<T, E>(&self, failures: &Limiter, result: Result<T, E>) -> Option<T>
    where
        E: std::fmt::Display,
    {
        let error = match result {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        if let Some(suppressed) = failures.pass(self.clock.now()) {
            slog::warn!(self.log, "duty: call failed"; "error" => %error,
                "suppressed" => suppressed);
        }
        None
    }

    async fn write(&self, agent: &mut Agent, write: Write, failures: &Limiter) {
        let started = self.clock.now();
        let outcome = self
            .within(STORE_TIMEOUT, self.store.write_duty(&write))
            .await;
        let outcome = self.log_failure(failures, outcome);
        agent.complete_write(write, started, outcome, &self.context());
    }

    async fn collect(&self, agent: &mut Agent, window: u64) {
        let timeout = async {
            self.clock.sleep(COLLECT_TIMEOUT).await;
            None
        };
        let collected = or(self.source.collect(window), timeout).await;
        match &collected {
            Some(collected) if !collected.missing.is_empty() => {
                slog::warn!(self.log, "duty: counts are incomplete"; "window" => window,
                    "centres" => ?collected.missing);
            }
            Some(_) => {}
            None => slog::warn!(self.log, "duty: counts are not available"; "window" => window),
        }
        let counts = collected.map(|c| (c.counts, c.missing.is_empty()));
        agent.complete_collect(window, counts, &self.context());
    }

    async fn send(&self, agent: &mut Agent, call: &Call, failures: &Limiter) {
        let now = self.clock.now();
        let limit = call.until.since(now);
        if limit.is_zero() {
            return;
        }
        // The time limit comes first, so that a process that was paused drops the call before it
        // writes anything.
        let timeout = async {
            self.clock.sleep_until(call.until).await;
            Err(Error::TimedOut(limit))
        };
        let report = &call.report;
        let calling = self
            .receiver
            .report(report, &self.name, call.generation, limit);
        let result = or(timeout, calling).await;
        let delivery = match &result {
            Ok(()) => Delivery::Accepted,
            Err(Error::Refused(_)) => Delivery::Refused,
            Err(Error::Rejected(_)) => Delivery::Rejected,
            Err(Error::TimedOut(_) | Error::Exchange(_)) => Delivery::NoResponse,
        };
        self.log_failure(failures, result);
        agent.complete_call(call, delivery, &self.context());
    }

    /// Makes known what has happened in the last step.
    fn publish(
        &self,
        agent: &mut Agent,
        generation: &mut Option<Generation>,
        timing: &Timing,
        announcement: &Announcement,
    ) {
        let now = self.clock.now();
        for event in agent.take_events() {
            self.record(&event, timing);
        }
        if *generation != agent.generation() {
            *generation = agent.generation();
            self.host.record_generation(*generation);
        }
        announcement.set(agent.notice(now), &self.host, now);
    }

    fn record(&self, event: &Event, timing: &Timing) {
        let log = &self.log;
        match event {
            Event::Taken {
                generation,
                previous,
            } => slog::info!(log, "duty: taken over"; "generation" => generation.number(),
                "previous holder" => previous),
            Event::Lost { reason } => slog::info!(log, "duty: given up"; "why" => reason),
            Event::Restored { era } => {
                slog::warn!(log, "duty: the store was restored"; "era" => era);
            }
            Event::OldEra { era } => {
                slog::warn!(log, "duty: response of an old era of the store"; "era" => era);
            }
            Event::Fixed { window, missing } if *missing > 0 => {
                slog::warn!(log, "duty: windows are not reported"; "next" => window,
                    "windows" => missing);
                self.host.record_windows(*missing, End::Missing);
            }
            Event::Fixed { .. } => {}
            Event::GivenUp { window, reason } => {
                slog::warn!(log, "duty: report given up"; "window" => window, "why" => reason);
                self.host.record_windows(1, End::Missing);
            }
            Event::Delivered { window } => {
                let due_at = timing.end_of(*window) + timing.due_after;
                let is_late = self.source.unix_time().is_some_and(|time| time > due_at);
                slog::info!(log, "duty: window reported"; "window" => window, "late" => is_late);
                let end = if is_late { End::Late } else { End::Sent };
                self.host.record_windows(1, end);
            }
        }
    }
}
