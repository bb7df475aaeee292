//! What the holder knows of its term.

use clock::Instant;

use super::backoff::Backoff;
use crate::duty::{Object, Timing};
use crate::lease::Lease;
use crate::usage::Report;

/// What the holder knows of its term. Everything here has been confirmed by the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Tenure {
    /// The object as last written.
    pub(super) object: Object,
    /// The revision of that write.
    pub(super) revision: u64,
    /// The lease that it granted.
    pub(super) lease: Lease,
    /// When the write that began the term was started.
    pub(super) since: Instant,
    /// When the term began, a report was fixed, or one was closed, whichever was last.
    pub(super) progress_at: Instant,
    /// Whether the pending report was delivered or given up.
    pub(super) is_closed: bool,
    /// Counts that have been determined, but not fixed by a write.
    pub(super) draft: Option<Report>,
    /// When counts may be asked for again.
    pub(super) collect_at: Instant,
    /// Failed calls of the receiver.
    pub(super) calls: Backoff,
    /// The number of calls for the pending report that got no response.
    pub(super) silent_calls: u32,
    /// When the next call may be made at the earliest.
    pub(super) next_call_at: Instant,
}

impl Tenure {
    /// Returns the term that a write of `object`, started at `started`, has begun.
    pub(super) fn new(object: Object, revision: u64, started: Instant, timing: &Timing) -> Self {
        Self {
            object,
            revision,
            lease: Lease::new(started, timing.lease_time, timing.margin),
            since: started,
            progress_at: started,
            is_closed: false,
            draft: None,
            collect_at: Instant::ZERO,
            calls: Backoff::default(),
            silent_calls: 0,
            next_call_at: Instant::ZERO,
        }
    }

    /// Records a confirmed write of `object`. Returns whether it has fixed the counts of a window.
    pub(super) fn renew(
        &mut self,
        object: Object,
        revision: u64,
        started: Instant,
        timing: &Timing,
    ) -> bool {
        let window = |object: &Object| object.pending.as_ref().map(|p| p.window);
        let has_new_report = window(&object).is_some() && window(&object) != window(&self.object);
        if has_new_report {
            self.is_closed = false;
            self.progress_at = started;
            self.draft = None;
            self.calls.reset();
            self.silent_calls = 0;
        }
        self.object = object;
        self.revision = revision;
        self.lease = Lease::new(started, timing.lease_time, timing.margin);
        has_new_report
    }

    /// Returns the report that is still to be delivered.
    pub(super) fn outstanding(&self) -> Option<&Report> {
        self.object.pending.as_ref().filter(|_| !self.is_closed)
    }

    /// Returns the last window that is closed.
    pub(super) fn reported(&self) -> Option<u64> {
        match &self.object.pending {
            Some(pending) if self.is_closed => Some(pending.window),
            _ => self.object.reported,
        }
    }
}
