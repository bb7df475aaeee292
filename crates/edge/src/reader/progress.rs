//! What the calls of the store have shown.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use balance::record::Kind;
use clock::Instant;

/// What the calls of the store have shown, by [`Kind::index`].
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The revisions up to which all changes are known.
    cursors: [AtomicU64; Kind::ALL.len()],
    /// The highest revisions after which another call has shown changes, plus one.
    missed: [AtomicU64; Kind::ALL.len()],
    /// When the last call began that has confirmed the records, in microseconds.
    confirmed_at: [AtomicU64; Kind::ALL.len()],
    /// When the last check began that got a response, in microseconds.
    checked_at: [AtomicU64; Kind::ALL.len()],
    /// When the last check ended without a response, in microseconds.
    failed_at: [AtomicU64; Kind::ALL.len()],
}

impl Progress {
    /// Returns the revision up to which all changes of `kind` are known.
    pub(super) fn cursor(&self, kind: Kind) -> u64 {
        self.cursors[kind.index()].load(Ordering::Acquire)
    }

    /// Records that all changes of `kind` up to `revision` are known.
    pub(super) fn advance(&self, kind: Kind, revision: u64) {
        self.cursors[kind.index()].fetch_max(revision, Ordering::AcqRel);
    }

    /// Records that a consistent call which began at `begun_at` has shown all changes of `kind` up to
    /// `revision`, the revision of the whole store. Returns whether it has confirmed the records of each
    /// kind, by [`Kind::index`]: those without a change up to that revision which is not known.
    pub(super) fn confirm(
        &self,
        kind: Kind,
        revision: u64,
        begun_at: Instant,
    ) -> [bool; Kind::ALL.len()] {
        self.advance(kind, revision);
        Kind::ALL.map(|kind| {
            let is_confirmed = self.cursor(kind) >= revision;
            if is_confirmed {
                let confirmed_at = &self.confirmed_at[kind.index()];
                confirmed_at.fetch_max(begun_at.as_micros(), Ordering::AcqRel);
            }
            is_confirmed
        })
    }

    /// Records that a check of `kind` which began at `begun_at` has got a response.
    pub(super) fn record_check(&self, kind: Kind, begun_at: Instant) {
        self.checked_at[kind.index()].store(begun_at.as_micros(), Ordering::Release);
    }

    /// Returns when to check `kind` next: `interval` after its records were confirmed or checked.
    pub(super) fn due_at(&self, kind: Kind, interval: Duration) -> Instant {
        let confirmed_at = self.confirmed_at[kind.index()].load(Ordering::Acquire);
        let checked_at = self.checked_at[kind.index()].load(Ordering::Acquire);
        Instant::from_micros(confirmed_at.max(checked_at)) + interval
    }

    /// Records that a check of `kind` has got no response.
    pub(super) fn record_failure(&self, kind: Kind, now: Instant) {
        self.failed_at[kind.index()].store(now.as_micros(), Ordering::Release);
    }

    /// Records that there are changes of `kind` after `cursor`.
    pub(super) fn record_changes(&self, kind: Kind, cursor: u64) {
        self.missed[kind.index()].fetch_max(cursor + 1, Ordering::AcqRel);
    }

    /// Returns whether a call that waits for changes of `kind` after `cursor` since `started_at` may have
    /// missed some: another call has shown them, or has failed to.
    pub(super) fn may_have_changes(&self, kind: Kind, cursor: u64, started_at: Instant) -> bool {
        let failed_at = self.failed_at[kind.index()].load(Ordering::Acquire);
        self.missed[kind.index()].load(Ordering::Acquire) > cursor
            || failed_at > started_at.as_micros()
    }
}
