//! How long ago the records of an instance were known to be the store's newest.
//!
//! The instance that reads the store knows it from its calls. The others learn it from their readers,
//! which send the age of their own records with each heartbeat, so that an age includes all waiting at
//! the instances between. What a datagram spends in the network is not included.

mod monitor;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use balance::record::Kind;
use clock::{Clock, Instant};

use crate::gossip::Confirmation;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

pub(crate) use monitor::Monitor;

/// Until when the records that an instance has include all changes in the store, by kind.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// In microseconds of the instance's clock, by [`Kind::index`]. 0 before the first confirmation.
    confirmed_at: [AtomicU64; Kind::ALL.len()],
}

impl Freshness {
    /// Records that the records of `kind` that this instance has include all changes that the store
    /// had confirmed by `at`.
    pub(crate) fn confirm(&self, kind: Kind, at: Instant) {
        self.confirmed_at[kind.index()].fetch_max(at.as_micros(), Ordering::AcqRel);
    }

    /// Returns the latest time by which all changes are included, or `None` if none is known.
    pub(crate) fn confirmed_at(&self, kind: Kind) -> Option<Instant> {
        let at = Instant::from_micros(self.confirmed_at[kind.index()].load(Ordering::Acquire));
        (at > Instant::ZERO).then_some(at)
    }

    /// Returns the time since [`Self::confirmed_at`].
    pub(crate) fn age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        self.confirmed_at(kind).map(|at| now.since(at))
    }

    /// Returns the ages of all kinds, in the order of [`Kind::ALL`].
    pub(crate) fn ages(&self, now: Instant) -> [Option<Duration>; Kind::ALL.len()] {
        Kind::ALL.map(|kind| self.age(kind, now))
    }
}

impl<S, H, C> Node<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Records that `revision` of `kind` includes all changes that the store had confirmed by `at`, if
    /// this instance has that revision or a later one.
    pub(crate) fn confirm(&self, kind: Kind, revision: u64, at: Instant) {
        if self.has_revision(kind, revision) {
            self.freshness.confirm(kind, at);
        }
    }

    /// Returns what a reader tells other instances of the age of its records.
    pub(crate) fn confirmation(&self) -> Confirmation {
        // Records that arrive between the two steps must not raise the age of older ones' revisions.
        let ages = self.freshness.ages(self.now());
        Confirmation {
            from: self.identity.boot,
            revisions: self.view.lock().revisions(),
            ages,
        }
    }

    /// Records what a reader has told of the age of its records.
    pub(crate) fn apply_confirmation(&self, confirmation: &Confirmation) {
        if confirmation.from == self.identity.boot {
            return;
        }
        // The datagram may have waited while the process was suspended.
        let sent_at = self.last_check();
        let parts = confirmation.revisions.iter().zip(&confirmation.ages);
        for (kind, (revision, age)) in Kind::ALL.into_iter().zip(parts) {
            if let Some(age) = age {
                self.confirm(kind, *revision, sent_at.before(*age));
            }
        }
    }

    /// Sets the metrics of the records in force to their present values.
    pub(crate) fn record_freshness(&self) {
        let ages = self.freshness.ages(self.now());
        let revisions = self.view.lock().revisions();
        for ((kind, revision), age) in Kind::ALL.into_iter().zip(revisions).zip(ages) {
            self.metrics.records(kind, revision, age);
        }
        if let Some(config) = self.config.load().as_ref() {
            self.metrics.config_version(config.version);
        }
    }
}
