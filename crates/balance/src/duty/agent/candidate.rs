//! Decisions of an instance that may take the duty over.

use std::time::Duration;

use clock::Instant;

use super::{Agent, Context, Role, Step, IDLE_TIME};
use crate::duty::{Condition, Generation, Notice, Object, Reading, Stored, Write};

/// The object as read, and since when it has been so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Observed {
    reading: Reading,
    since: Instant,
    /// The true time at which it was first seen so, if it is known.
    unix_time: Option<Duration>,
}

impl Observed {
    pub(super) fn into_holder(self) -> String {
        let stored = self.reading.stored;
        stored.map(|s| s.object.holder).unwrap_or_default()
    }
}

/// What was last heard of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Heard {
    at: Instant,
    generation: Generation,
    /// Whether its term has ended, or its lease has.
    has_ended: bool,
}

impl Agent {
    /// Records what a holder announces.
    pub fn hear(&mut self, notice: &Notice, now: Instant) {
        if notice.holder == self.name {
            return;
        }
        self.knowledge.close(notice.reported);
        if let Some(pending) = &notice.pending {
            self.knowledge.add(pending);
        }
        if self.era.is_some() {
            self.see_era(notice.generation.era(), now);
        }
        let own = self.generation();
        let known = own.max(self.heard.map(|heard| heard.generation));
        if known.is_some_and(|known| notice.generation < known) {
            return;
        }
        if own.is_some() {
            self.lose("another instance announces itself as the holder", now);
        }
        self.disproved = 0;
        let has_ended = notice.released || notice.lease_age > self.timing.lease_time;
        if notice.released {
            self.needs_read = true;
        } else if self.era == Some(notice.generation.era()) {
            self.retakes = false;
        }
        self.heard = Some(Heard {
            at: now,
            generation: notice.generation,
            has_ended,
        });
    }

    /// Records the object as read.
    pub(super) fn observe(&mut self, reading: Reading, context: &Context) {
        let now = context.now;
        if let (Some(before), Some(stored)) = (&self.observed, &reading.stored) {
            if before.reading == reading {
                return;
            }
            let was = before.reading.stored.as_ref();
            let same_holder = was.is_some_and(|w| w.object.generation == stored.object.generation);
            // The holder renews its lease, but is not heard.
            if same_holder && !stored.object.released && !stored.object.holder.is_empty() {
                self.disproved = self.disproved.saturating_add(1);
                self.heard = None;
                self.listening_since = Some(now);
            }
        }
        let generation = reading.stored.as_ref().map(|s| s.object.generation);
        if generation.is_some_and(|g| Some(g.era()) == self.era) {
            self.retakes = false;
        }
        // Writes on condition of an earlier revision can have no effect any more.
        self.attempts.clear();
        self.observed = Some(Observed {
            reading,
            since: now,
            unix_time: context.unix_time,
        });
    }

    /// Returns from when on the holder counts as lost.
    fn suspects_from(&self, context: &Context) -> Instant {
        const MAX_DOUBLINGS: u32 = 4;
        if self.retakes {
            return context.now;
        }
        let silence = self.timing.silence * (1 << self.disproved.min(MAX_DOUBLINGS));
        match self.heard {
            Some(heard) if heard.has_ended => heard.at,
            Some(heard) => heard.at + silence,
            None => self.listening_since.unwrap_or(context.now) + silence,
        }
    }

    /// Decides as a candidate.
    pub(super) fn step_as_candidate(&mut self, context: &Context) -> Step {
        let now = context.now;
        debug_assert_eq!(self.role, Role::Candidate);
        let is_candidate = context.is_candidate || self.retakes;
        if !is_candidate || context.is_stopping {
            self.listening_since = None;
            self.observed = None;
            return Step::Wait(now + IDLE_TIME);
        }
        self.listening_since.get_or_insert(now);
        let from = self.suspects_from(context).max(self.abstains_until);
        if now < from {
            self.observed = None;
            return Step::Wait(from);
        }
        if now < self.store.until() {
            return Step::Wait(self.store.until());
        }
        if self.needs_read {
            return Step::Read;
        }
        let Some(observed) = self.observed.clone() else {
            return Step::Read;
        };
        let write = match &observed.reading.stored {
            None => self.create(observed.reading.era, context),
            Some(stored) => {
                let take_at = self.take_at(&observed, stored, context);
                if now < take_at {
                    return Step::Wait(take_at);
                }
                self.take(&observed, stored, context)
            }
        };
        write.map_or(Step::Wait(now + IDLE_TIME), Step::Write)
    }

    /// Returns when this instance may take over.
    fn take_at(&self, observed: &Observed, stored: &Stored, context: &Context) -> Instant {
        const MAX_RANK: u32 = 4;
        let object = &stored.object;
        let is_of_era = object.generation.era() == observed.reading.era;
        let wait = if object.released && is_of_era {
            Duration::ZERO
        } else {
            self.timing.lease_time
        };
        observed.since + wait + self.timing.stagger * context.rank.min(MAX_RANK)
    }

    /// Returns the write that creates the object without a holder.
    fn create(&mut self, era: u64, context: &Context) -> Option<Write> {
        // An object may have been lost with what it said.
        let fresh_from = self.timing.first_unfixed(context.unix_time?);
        let object = Object {
            holder: String::new(),
            generation: Generation::new(era, 0)?,
            released: false,
            reported: self.knowledge.reported,
            pending: None,
            fresh_from,
            write: 0,
        };
        Some(Write {
            condition: Condition::Absent,
            object: self.next_object(object),
        })
    }

    /// Returns the write that takes the duty over.
    fn take(&mut self, observed: &Observed, stored: &Stored, context: &Context) -> Option<Write> {
        let before = &stored.object;
        let era = observed.reading.era;
        let reported = before.reported.max(self.knowledge.reported);
        // An object of an earlier era may have lost writes, and may itself be a late write of an
        // instance that did not know of the new era. What it says to be pending may have been
        // reported with other counts.
        let (pending, fresh_from) = if before.generation.era() == era {
            let pending = before.pending.clone();
            (
                pending.filter(|p| Some(p.window) > reported),
                before.fresh_from,
            )
        } else {
            let exclusive = self.knowledge.exclusive;
            let fresh_from = match exclusive.filter(|e| observed.since < e.until) {
                Some(exclusive) => exclusive.fresh_from,
                None => {
                    let unix_time = observed.unix_time.or(context.unix_time)?;
                    self.timing.first_unfixed(unix_time)
                }
            };
            (None, fresh_from.max(before.fresh_from))
        };
        let object = Object {
            holder: self.name.clone(),
            generation: Generation::new(era, stored.revision)?,
            released: false,
            reported,
            pending,
            fresh_from,
            write: 0,
        };
        Some(Write {
            condition: Condition::Revision(stored.revision),
            object: self.next_object(object),
        })
    }
}
