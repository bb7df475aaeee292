//! Decisions of the holder.

use std::time::Duration;

use clock::Instant;

use super::tenure::Tenure;
use super::{Agent, Call, Context, Role, Step, IDLE_TIME};
use crate::duty::{Condition, Event, Object, Write};
use crate::usage::Report;

/// The next report of a holder.
enum Next {
    /// Its counts are known.
    Known(Report),
    /// Its counts have to be determined.
    Unknown(u64),
    /// It is not due yet.
    NotBefore(Instant),
}

impl Agent {
    /// Decides as the holder. Returns `None` if the instance is no longer the holder.
    pub(super) fn step_as_holder(
        &mut self,
        mut tenure: Box<Tenure>,
        context: &Context,
    ) -> Option<Step> {
        if let Some(reason) = self.reason_to_end(&tenure, context) {
            return self.end(&tenure, reason, context);
        }
        let step = self.next_step(&mut tenure, context);
        self.role = Role::Holder(tenure);
        Some(step)
    }

    fn next_step(&mut self, tenure: &mut Tenure, context: &Context) -> Step {
        let now = context.now;
        let (shortest_call, longest_call) = self.timing.call_limits;
        let mut wake_at = (now + IDLE_TIME).min(now + self.time_to_renewal(tenure, now));
        self.give_up_if_old(tenure, context);
        let mut renews = self.time_to_renewal(tenure, now).is_zero();
        let mut next_report = None;
        if let Some(report) = tenure.outstanding() {
            let call_at = tenure.calls.until().max(tenure.next_call_at);
            if now < call_at {
                wake_at = wake_at.min(call_at);
            } else if tenure.lease.time_to_act(now) >= shortest_call {
                return Step::Send(Call {
                    report: report.clone(),
                    generation: tenure.object.generation,
                    until: tenure.lease.act_until().min(now + longest_call),
                });
            } else {
                renews = true;
            }
        }
        if now < self.store.until() {
            return Step::Wait(wake_at.min(self.store.until()));
        }
        if self.needs_read {
            return Step::Read;
        }
        if tenure.outstanding().is_none() {
            match self.next_report(tenure, context) {
                Some(Next::Known(report)) => next_report = Some(report),
                Some(Next::Unknown(window)) => return Step::Collect(window),
                Some(Next::NotBefore(at)) => wake_at = wake_at.min(at),
                None => {}
            }
        }
        if next_report.is_none() && !renews {
            return Step::Wait(wake_at);
        }
        let object = Object {
            reported: tenure.reported(),
            pending: next_report.or_else(|| tenure.outstanding().cloned()),
            ..tenure.object.clone()
        };
        Step::Write(Write {
            condition: Condition::Revision(tenure.revision),
            object: self.next_object(object),
        })
    }

    fn time_to_renewal(&self, tenure: &Tenure, now: Instant) -> Duration {
        let age = tenure.lease.age(now);
        self.timing.renew_after.saturating_sub(age)
    }

    fn give_up_if_old(&mut self, tenure: &mut Tenure, context: &Context) {
        let Some(unix_time) = context.unix_time else {
            return;
        };
        let oldest = self.timing.oldest(unix_time);
        let window = tenure.outstanding().map(|report| report.window);
        if let Some(window) = window.filter(|window| *window < oldest) {
            tenure.is_closed = true;
            tenure.progress_at = context.now;
            self.knowledge.close(Some(window));
            self.events.push(Event::GivenUp {
                window,
                reason: "it is too late",
            });
        }
    }

    /// Returns the next report, if the time is known.
    fn next_report(&self, tenure: &Tenure, context: &Context) -> Option<Next> {
        let unix_time = context.unix_time?;
        let window = self.next_window(&tenure.object, unix_time);
        if let Some(report) = self.knowledge.get(window) {
            return Some(Next::Known(report.clone()));
        }
        if let Some(draft) = tenure.draft.as_ref().filter(|d| d.window == window) {
            return Some(Next::Known(draft.clone()));
        }
        let due_at = self.timing.end_of(window) + self.timing.settle_time;
        if unix_time < due_at {
            return Some(Next::NotBefore(context.now + (due_at - unix_time)));
        }
        if context.now < tenure.collect_at {
            return Some(Next::NotBefore(tenure.collect_at));
        }
        Some(Next::Unknown(window))
    }

    /// Returns the next window to report. Windows that may have been reported in an earlier era are
    /// left out, unless their counts were fixed then and are known.
    fn next_window(&self, object: &Object, unix_time: Duration) -> u64 {
        let next = object.last_window().map_or(0, |last| last + 1);
        let first = next.max(self.timing.oldest(unix_time));
        let fixed = self.knowledge.first(first, object.fresh_from);
        fixed.unwrap_or_else(|| first.max(object.fresh_from))
    }

    /// Returns why the holder should leave the duty to another instance, if it should.
    fn reason_to_end(&self, tenure: &Tenure, context: &Context) -> Option<&'static str> {
        const SILENT_CALLS: u32 = 2;
        if context.is_stopping {
            return Some("it is stopping");
        }
        // Others do not fare better without the store.
        let unix_time = context.unix_time?;
        let has_tried = context.now.since(tenure.progress_at) >= self.timing.lease_time;
        if self.store.is_failing() || !has_tried {
            return None;
        }
        let is_stuck =
            |window: u64| unix_time >= self.timing.end_of(window) + self.timing.stuck_after;
        match tenure.outstanding() {
            Some(report) => (tenure.silent_calls >= SILENT_CALLS && is_stuck(report.window))
                .then_some("the receiver does not respond"),
            None => is_stuck(self.next_window(&tenure.object, unix_time))
                .then_some("the usage cannot be determined"),
        }
    }

    /// Ends the term. From here on the instance does not act, whether or not the write that tells the
    /// others takes effect.
    fn end(&mut self, tenure: &Tenure, reason: &'static str, context: &Context) -> Option<Step> {
        let now = context.now;
        self.lose(reason, now);
        self.attempts.clear();
        self.observed = None;
        self.needs_read = false;
        self.knowledge.exclusive = None;
        self.abstains_until = now + self.timing.abstention;
        // If a short term ended so, its predecessor could act again within the time of a lease.
        if now.since(tenure.since) < self.timing.lease_time {
            return None;
        }
        self.farewell = Some((self.notice_of(tenure, true, now), now));
        let object = Object {
            released: true,
            reported: tenure.reported(),
            pending: tenure.outstanding().cloned(),
            ..tenure.object.clone()
        };
        Some(Step::Write(Write {
            condition: Condition::Revision(tenure.revision),
            object: self.next_object(object),
        }))
    }
}
