//! What the calls of the store have shown.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use balance::record::Kind;
use clock::Instant;

use crate::freshness::Freshness;

/// What the calls of the store have shown, by [`Kind::index`].
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The revisions up to which all changes are known.
    cursors: [AtomicU64; Kind::ALL.len()],
    /// The highest revisions after which another call has shown changes, plus one.
    missed: [AtomicU64; Kind::ALL.len()],
    /// The last call that has confirmed the records.
    confirmed: Freshness,
    /// When the last check began that has shown changes, in microseconds.
    changed_at: [AtomicU64; Kind::ALL.len()],
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
                self.confirmed.confirm(kind, begun_at);
            }
            is_confirmed
        })
    }

    /// Returns when to check `kind` next: `interval` after the last call began that has confirmed its
    /// records, or after the last check that has shown changes.
    pub(super) fn due_at(&self, kind: Kind, interval: Duration) -> Instant {
        let changed_at = self.changed_at[kind.index()].load(Ordering::Acquire);
        let changed_at = Some(Instant::from_micros(changed_at));
        let last = self.confirmed.confirmed_at(kind).max(changed_at);
        last.unwrap_or(Instant::ZERO) + interval
    }

    /// Records that a check of `kind` has got no response.
    pub(super) fn record_failure(&self, kind: Kind, now: Instant) {
        self.failed_at[kind.index()].store(now.as_micros(), Ordering::Release);
    }

    /// Records that a check which began at `begun_at` has shown changes of `kind` after `cursor`.
    pub(super) fn record_changes(&self, kind: Kind, cursor: u64, begun_at: Instant) {
        self.missed[kind.index()].fetch_max(cursor + 1, Ordering::AcqRel);
        self.changed_at[kind.index()].store(begun_at.as_micros(), Ordering::Release);
    }

    /// Returns whether a call that waits for changes of `kind` after `cursor` since `started_at` may have
    /// missed some: another call has shown them, or has failed to.
    pub(super) fn may_have_changes(&self, kind: Kind, cursor: u64, started_at: Instant) -> bool {
        let failed_at = self.failed_at[kind.index()].load(Ordering::Acquire);
        self.missed[kind.index()].load(Ordering::Acquire) > cursor
            || failed_at > started_at.as_micros()
    }
}
