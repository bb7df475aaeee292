//! Entries by key, each kept for the retention time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use crate::entry::Entry;
use crate::history::History;
use crate::key::Key;
use crate::record::{Outcome, Record};

/// Entries by key, each kept for the retention time after it last changed.
#[derive(Debug)]
pub(crate) struct Table {
    retention: Duration,
    entries: BTreeMap<Key, Entry>,
    /// The times of all entries, earliest first.
    times: BTreeSet<(Duration, Key)>,
    /// Until when claims made before may be missing.
    uncertain_until: Duration,
}

impl Table {
    /// Returns an empty table.
    pub(crate) fn new(retention: Duration) -> Self {
        Self {
            retention,
            entries: BTreeMap::new(),
            times: BTreeSet::new(),
            uncertain_until: Duration::ZERO,
        }
    }

    /// Returns the entry of `key`.
    pub(crate) fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Returns until when claims made before may be missing.
    pub(crate) fn uncertain_until(&self) -> Duration {
        self.uncertain_until
    }

    /// Returns the entries in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Key, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Returns the entries whose keys lie behind `key`, or all.
    pub(crate) fn after(&self, key: Option<Key>) -> impl Iterator<Item = (Key, &Entry)> {
        let start = key.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.entries.range((start, Bound::Unbounded));
        range.map(|(key, entry)| (*key, entry))
    }

    /// Forgets the entries that are past retention at `time`.
    pub(crate) fn expire(&mut self, time: Duration) {
        while let Some(&(changed, key)) = self.times.first() {
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

    /// Sets the outcome of `key`. A complete one is never replaced: resends may have had it.
    fn finish(&mut self, key: Key, report: Entry) -> bool {
        let Some(known) = self.entries.get(&key) else {
            return self.insert(key, report);
        };
        let stands = match known.outcome {
            Some(Outcome::Complete { .. }) => true,
            Some(Outcome::Unknown) => report.outcome == known.outcome,
            None => false,
        };
        if stands {
            return false;
        }
        let merged = Entry {
            digest: known.digest,
            claimant: known.claimant.clone(),
            ..report
        };
        self.insert(key, merged)
    }

    /// Sets the entry of `key`.
    fn insert(&mut self, key: Key, entry: Entry) -> bool {
        self.remove(key);
        self.times.insert((entry.time, key));
        self.entries.insert(key, entry);
        true
    }

    /// Forgets `key` and returns whether it had an entry.
    fn remove(&mut self, key: Key) -> bool {
        let Some(entry) = self.entries.remove(&key) else {
            return false;
        };
        self.times.remove(&(entry.time, key))
    }
}
