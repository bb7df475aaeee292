//! The table of claims, which is the state that a log replays to.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use crate::entry::Entry;
use crate::history::History;
use crate::key::Key;
use crate::record::{Outcome, Record};

/// Entries by key. An entry expires when the retention time has passed since its last change.
#[derive(Debug)]
pub(crate) struct Table {
    retention: Duration,
    entries: BTreeMap<Key, Entry>,
    /// The times of the last change of all entries, earliest first.
    change_times: BTreeSet<(Duration, Key)>,
    /// The log time until which claims made earlier may be missing.
    uncertain_until: Duration,
}

impl Table {
    /// Returns an empty table.
    pub(crate) fn new(retention: Duration) -> Self {
        Self {
            retention,
            entries: BTreeMap::new(),
            change_times: BTreeSet::new(),
            uncertain_until: Duration::ZERO,
        }
    }

    /// Returns the entry of `key`.
    pub(crate) fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Returns the log time until which claims made earlier may be missing.
    pub(crate) fn uncertain_until(&self) -> Duration {
        self.uncertain_until
    }

    /// Returns the entries in key order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Returns the entries whose keys are greater than `key`, or all, in key order.
    pub(crate) fn after(&self, key: Option<Key>) -> impl Iterator<Item = (Key, &Entry)> {
        let start = key.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.entries.range((start, Bound::Unbounded));
        range.map(|(key, entry)| (*key, entry))
    }

    /// Removes the entries that have expired at `time`.
    pub(crate) fn expire(&mut self, time: Duration) {
        while let Some(&(changed, key)) = self.change_times.first() {
            if changed + self.retention > time {
                return;
            }
            self.remove(key);
        }
    }

    /// Applies `record` at `time` and returns whether it changed an entry.
    pub(crate) fn apply(&mut self, record: &Record, time: Duration) -> bool {
        match record {
            Record::Claim {
                key,
                digest,
                claimant,
            } => self.insert(
                *key,
                Entry {
                    digest: Some(*digest),
                    claimant: claimant.clone(),
                    outcome: None,
                    time,
                },
            ),
            Record::Finish {
                key,
                claimant,
                outcome,
            } => {
                let entry = Entry {
                    digest: None,
                    claimant: claimant.clone(),
                    outcome: Some(outcome.clone()),
                    time,
                };
                self.finish(*key, entry)
            }
            Record::Release { key, claimant } => {
                let held = self
                    .entries
                    .get(key)
                    .is_some_and(|entry| entry.claimant == *claimant && entry.outcome.is_none());
                held && self.remove(*key)
            }
            Record::Copy { key, entry } => self.insert(*key, entry.clone()),
            Record::Takeover { history, .. } => {
                if *history == History::Uncertain {
                    self.uncertain_until = self.uncertain_until.max(time + self.retention);
                }
                false
            }
            Record::Snapshot {
                uncertain_until, ..
            } => {
                self.uncertain_until = self.uncertain_until.max(*uncertain_until);
                false
            }
        }
    }

    /// Sets the outcome of `key` from `reported`, and returns whether the entry changed.
    ///
    /// A complete outcome is never replaced, because it may have been sent to callers.
    fn finish(&mut self, key: Key, reported: Entry) -> bool {
        let Some(existing) = self.entries.get(&key) else {
            return self.insert(key, reported);
        };
        let unchanged = match existing.outcome {
            Some(Outcome::Complete { .. }) => true,
            Some(Outcome::Unknown) => reported.outcome == existing.outcome,
            None => false,
        };
        if unchanged {
            return false;
        }
        let merged = Entry {
            digest: existing.digest,
            claimant: existing.claimant.clone(),
            ..reported
        };
        self.insert(key, merged)
    }

    /// Sets the entry of `key`. Always returns true: the entry changed.
    fn insert(&mut self, key: Key, entry: Entry) -> bool {
        self.remove(key);
        self.change_times.insert((entry.time, key));
        self.entries.insert(key, entry);
        true
    }

    /// Removes the entry of `key` and returns whether there was one.
    fn remove(&mut self, key: Key) -> bool {
        let Some(entry) = self.entries.remove(&key) else {
            return false;
        };
        self.change_times.remove(&(entry.time, key))
    }
}
