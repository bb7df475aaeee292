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
    /// When the last check began, in microseconds.
    checked_at: [AtomicU64; Kind::ALL.len()],
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
    /// `revision`, the revision of the whole store. Returns the kinds whose records it has confirmed:
    /// those without a change up to that revision which is not known.
    pub(super) fn confirm(
        &self,
        kind: Kind,
        revision: u64,
        begun_at: Instant,
    ) -> impl Iterator<Item = Kind> + '_ {
        self.advance(kind, revision);
        let confirmed = Kind::ALL.into_iter();
        let confirmed = confirmed.filter(move |kind| self.cursor(*kind) >= revision);
        confirmed.inspect(move |kind| {
            let confirmed_at = &self.confirmed_at[kind.index()];
            confirmed_at.fetch_max(begun_at.as_micros(), Ordering::AcqRel);
        })
    }

    /// Records that a check of `kind` begins.
    pub(super) fn record_check(&self, kind: Kind, now: Instant) {
        self.checked_at[kind.index()].store(now.as_micros(), Ordering::Release);
    }

    /// Returns the kind to check next, and when: `interval` after its records were confirmed or checked.
    /// Records that have not been read yet cannot be checked.
    pub(super) fn next_check<F>(&self, interval: F) -> Option<(Kind, Instant)>
    where
        F: Fn(Kind) -> Duration,
    {
        let known = Kind::ALL.into_iter().filter(|kind| self.cursor(*kind) > 0);
        let due = known.map(|kind| {
            let confirmed_at = self.confirmed_at[kind.index()].load(Ordering::Acquire);
            let checked_at = self.checked_at[kind.index()].load(Ordering::Acquire);
            let last = Instant::from_micros(confirmed_at.max(checked_at));
            (kind, last + interval(kind))
        });
        due.min_by_key(|(_, at)| *at)
    }

    /// Records that there are changes of `kind` after `cursor`.
    pub(super) fn record_changes(&self, kind: Kind, cursor: u64) {
        self.missed[kind.index()].fetch_max(cursor + 1, Ordering::AcqRel);
    }

    /// Returns whether there are changes of `kind` after `cursor`.
    pub(super) fn has_changes(&self, kind: Kind, cursor: u64) -> bool {
        self.missed[kind.index()].load(Ordering::Acquire) > cursor
    }
}
