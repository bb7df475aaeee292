//! One instance's part in the duty.

mod backoff;
mod candidate;
mod holder;
mod knowledge;
mod tenure;

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Instant;

use self::backoff::Backoff;
use self::candidate::{Heard, Observed};
use self::knowledge::{Exclusive, Knowledge};
use self::tenure::Tenure;
use super::{Event, Generation, Notice, Object, Outcome, Reading, Timing, Write};
use crate::usage::Report;

/// How long an instance with nothing to do waits.
const IDLE_TIME: Duration = Duration::from_millis(500);

/// How long the end of a term is announced.
const FAREWELL_TIME: Duration = Duration::from_secs(2);

/// The bits of the number of a write. Those above them identify the run of the instance.
const WRITE_BITS: u32 = 20;

/// What an instance knows when it decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// The time, from a clock that includes suspended time.
    pub now: Instant,
    /// The true time since 1970, if it is known.
    pub unix_time: Option<Duration>,
    /// Whether the instance may take the duty over, as the reader of its data centre.
    pub is_candidate: bool,
    /// Whether the instance is about to stop.
    pub is_stopping: bool,
    /// The number of candidates that come before this one.
    pub rank: u32,
    /// A number drawn evenly from all.
    pub random: u64,
}

/// A call of the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    /// The report to send.
    pub report: Report,
    /// The generation of the holder.
    pub generation: Generation,
    /// When the call has to have ended or been aborted.
    pub until: Instant,
}

/// Result of a call of the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// The receiver has accepted the report.
    Accepted,
    /// The receiver has refused the call, and may accept it later.
    Refused,
    /// The receiver will never accept the report.
    Rejected,
    /// There was no response, so the receiver may have accepted the report.
    NoResponse,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Wait until then, or until something is heard.
    Wait(Instant),
    /// Read the object, then call [`Agent::complete_read`].
    Read,
    /// Write the object, then call [`Agent::complete_write`].
    Write(Write),
    /// Determine the counts of this window, then call [`Agent::complete_collect`].
    Collect(u64),
    /// Send a report, then call [`Agent::complete_call`].
    Send(Call),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Role {
    #[default]
    Candidate,
    Holder(Box<Tenure>),
}

/// A write of this instance that got no response. It may have taken effect, or may do so later.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    object: Object,
    started: Instant,
}

/// One instance's part in the duty. Steps are taken one after the other: each has to be completed
/// before the next is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    name: String,
    timing: Timing,
    next_write: u64,
    /// The highest era of the store that was seen.
    era: Option<u64>,
    role: Role,
    knowledge: Knowledge,
    /// Writes in the present era that are not confirmed. All have the same condition.
    attempts: Vec<Attempt>,
    /// Whether the object has to be read because a write got no response or failed.
    needs_read: bool,
    /// Failed calls of the store.
    store: Backoff,
    observed: Option<Observed>,
    heard: Option<Heard>,
    /// From when on the silence of the holder counts.
    listening_since: Option<Instant>,
    /// How often in a row a silent holder turned out to renew its lease.
    disproved: u32,
    /// Whether this instance was the holder when the store was restored.
    retakes: bool,
    abstains_until: Instant,
    farewell: Option<(Notice, Instant)>,
    events: Vec<Event>,
}

impl Agent {
    /// Returns the part of the instance `name`. `run` distinguishes this run of the instance from
    /// all others; its upper half is not used.
    pub fn new(name: &str, run: u64, timing: Timing) -> Self {
        Self {
            name: name.to_owned(),
            timing,
            next_write: (run & u64::from(u32::MAX)) << WRITE_BITS,
            era: None,
            role: Role::Candidate,
            knowledge: Knowledge::default(),
            attempts: Vec::new(),
            needs_read: false,
            store: Backoff::default(),
            observed: None,
            heard: None,
            listening_since: None,
            disproved: 0,
            retakes: false,
            abstains_until: Instant::ZERO,
            farewell: None,
            events: Vec::new(),
        }
    }

    /// Returns what to do next.
    pub fn step(&mut self, context: &Context) -> Step {
        let step = match std::mem::take(&mut self.role) {
            Role::Holder(tenure) => self.step_as_holder(tenure, context),
            Role::Candidate => None,
        };
        step.unwrap_or_else(|| self.step_as_candidate(context))
    }

    /// Returns the times that it was created with.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Returns the generation of this instance, if it is the holder.
    pub fn generation(&self) -> Option<Generation> {
        match &self.role {
            Role::Holder(tenure) => Some(tenure.object.generation),
            Role::Candidate => None,
        }
    }

    /// Returns what has happened since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns what the holder, or the last holder for a while, has to announce.
    pub fn notice(&self, now: Instant) -> Option<Notice> {
        if let Role::Holder(tenure) = &self.role {
            return Some(self.notice_of(tenure, false, now));
        }
        let farewell = self.farewell.as_ref();
        let recent = farewell.filter(|(_, at)| now.since(*at) < FAREWELL_TIME);
        recent.map(|(notice, _)| notice.clone())
    }

    fn notice_of(&self, tenure: &Tenure, released: bool, now: Instant) -> Notice {
        Notice {
            holder: self.name.clone(),
            generation: tenure.object.generation,
            lease_age: tenure.lease.age(now),
            released,
            reported: tenure.reported(),
            pending: tenure.object.pending.clone(),
        }
    }

    /// Records that the store has shown `era`. A lease of an earlier era is void.
    pub fn see_era(&mut self, era: u64, now: Instant) {
        let known = self.era;
        if known.is_some_and(|known| era <= known) {
            return;
        }
        self.era = Some(era);
        if known.is_none() {
            return;
        }
        self.events.push(Event::Restored { era });
        self.attempts.clear();
        self.observed = None;
        self.needs_read = true;
        if matches!(self.role, Role::Holder(_)) {
            self.lose("the store was restored", now);
            // It knows best what was reported.
            self.retakes = true;
        }
    }

    /// Returns whether a response of `era` may be used, and records the era.
    fn accepts_era(&mut self, era: u64, now: Instant) -> bool {
        self.see_era(era, now);
        let accepted = self.era == Some(era);
        if !accepted {
            self.events.push(Event::OldEra { era });
        }
        accepted
    }

    /// Ends the role of the holder without a word to the store.
    fn lose(&mut self, reason: &'static str, now: Instant) {
        self.role = Role::Candidate;
        self.events.push(Event::Lost { reason });
        self.heard = None;
        self.listening_since = Some(now);
    }

    /// Records the result of a read; `None` if there was no response.
    pub fn complete_read(&mut self, reading: Option<Reading>, context: &Context) {
        let now = context.now;
        let Some(reading) = reading.filter(|r| self.accepts_era(r.era, now)) else {
            self.fail_store(context);
            return;
        };
        self.store.reset();
        self.needs_read = false;
        if let Some(stored) = &reading.stored {
            let mut attempts = self.attempts.iter();
            let own = attempts.find(|a| a.object.write == stored.object.write);
            if let Some(attempt) = own.cloned() {
                self.confirm(attempt.object, stored.revision, attempt.started);
                return;
            }
        }
        if let Role::Holder(tenure) = &self.role {
            let revision = reading.stored.as_ref().map(|stored| stored.revision);
            if revision == Some(tenure.revision) {
                return;
            }
            self.lose("another instance has written", now);
        }
        self.observe(reading, context);
    }

    /// Records the result of a write that was started at `started`; `None` if there was no response.
    pub fn complete_write(
        &mut self,
        write: Write,
        started: Instant,
        outcome: Option<Outcome>,
        context: &Context,
    ) {
        let now = context.now;
        let write_era = write.object.generation.era();
        let is_held = !write.object.released && !write.object.holder.is_empty();
        let outcome = outcome.filter(|outcome| match outcome {
            Outcome::Written { era, .. } | Outcome::Conflict { era } => self.accepts_era(*era, now),
        });
        let same_era = self.era == Some(write_era);
        match outcome {
            // A write may take effect in an era in which its condition holds by chance.
            Some(Outcome::Written { revision, .. }) if same_era && is_held => {
                self.confirm(write.object, revision, started);
            }
            Some(Outcome::Written { era, revision }) if same_era && !write.object.released => {
                self.store.reset();
                let stored = Some(super::Stored {
                    revision,
                    object: write.object,
                });
                self.observe(Reading { era, stored }, context);
            }
            Some(_) => {
                self.store.reset();
                self.needs_read = true;
            }
            None => {
                if same_era && is_held {
                    let object = write.object;
                    self.attempts.push(Attempt { object, started });
                }
                self.fail_store(context);
            }
        }
    }

    fn fail_store(&mut self, context: &Context) {
        self.needs_read = true;
        self.store
            .fail(self.timing.backoff, context.random, context.now);
    }

    /// Records that the store has confirmed a write of this instance as the holder.
    fn confirm(&mut self, object: Object, revision: u64, started: Instant) {
        self.attempts.clear();
        self.needs_read = false;
        self.store.reset();
        self.retakes = false;
        self.disproved = 0;
        self.heard = None;
        self.knowledge.close(object.reported);
        if let Some(pending) = &object.pending {
            self.knowledge.add(pending);
        }
        let fresh_from = object.next_window();
        let previous = self.observed.take();
        match &mut self.role {
            Role::Holder(tenure) => {
                let last = tenure.object.last_window();
                if tenure.renew(object, revision, started, &self.timing) {
                    let window = tenure.object.last_window().unwrap_or(0);
                    let missing = last.map_or(0, |last| window.saturating_sub(last + 1));
                    self.events.push(Event::Fixed { window, missing });
                }
            }
            Role::Candidate => {
                self.events.push(Event::Taken {
                    generation: object.generation,
                    previous: previous.map(Observed::into_holder).unwrap_or_default(),
                });
                let tenure = Tenure::new(object, revision, started, &self.timing);
                self.role = Role::Holder(Box::new(tenure));
            }
        }
        let until = started + self.timing.lease_time;
        self.knowledge.exclusive = Some(Exclusive { until, fresh_from });
    }

    /// Records the counts of a window and whether they are complete; `None` if there are none.
    pub fn complete_collect(
        &mut self,
        window: u64,
        collected: Option<(BTreeMap<String, u64>, bool)>,
        context: &Context,
    ) {
        const RETRY_INTERVAL: Duration = Duration::from_millis(300);
        let Role::Holder(tenure) = &mut self.role else {
            return;
        };
        let latest = self.timing.end_of(window) + self.timing.collect_time;
        let may_retry = context.unix_time.is_some_and(|time| time < latest);
        match collected {
            Some((counts, is_complete)) if is_complete || !may_retry => {
                tenure.draft = Some(Report { window, counts });
            }
            _ => tenure.collect_at = context.now + RETRY_INTERVAL,
        }
    }

    /// Records the result of a call of the receiver.
    pub fn complete_call(&mut self, call: &Call, delivery: Delivery, context: &Context) {
        let window = call.report.window;
        let closes = match delivery {
            Delivery::Accepted => Some(Event::Delivered { window }),
            Delivery::Rejected => Some(Event::GivenUp {
                window,
                reason: "the receiver rejects it",
            }),
            Delivery::Refused | Delivery::NoResponse => None,
        };
        let is_closed = closes.is_some();
        if let Some(event) = closes {
            self.events.push(event);
            self.knowledge.close(Some(window));
        }
        let Role::Holder(tenure) = &mut self.role else {
            return;
        };
        tenure.next_call_at = context.now + self.timing.call_spacing;
        if tenure.object.pending.as_ref() != Some(&call.report) {
            return;
        }
        if is_closed {
            tenure.is_closed = true;
            tenure.progress_at = context.now;
            tenure.calls.reset();
            return;
        }
        if delivery == Delivery::NoResponse {
            tenure.silent_calls = tenure.silent_calls.saturating_add(1);
        }
        tenure
            .calls
            .fail(self.timing.backoff, context.random, context.now);
    }

    /// Returns the object of this instance's next write as the holder.
    fn next_object(&mut self, object: Object) -> Object {
        self.next_write += 1;
        Object {
            write: self.next_write,
            ..object
        }
    }
}
