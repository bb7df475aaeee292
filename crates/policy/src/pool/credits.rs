//! The live credits of a pool.

use std::collections::{BTreeSet, HashMap};

use clock::Instant;

use super::entry::Entry;
use crate::credit;
use crate::quarantine::Fingerprint;

/// The live credits of a pool, and when each ends unless it is released earlier.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    entries: HashMap<credit::Id, Entry>,
    by_end: BTreeSet<(Instant, credit::Id)>,
    fingerprints: HashMap<Fingerprint, u32>,
}

impl Credits {
    /// Returns whether the credit `id` is live.
    pub(crate) fn contains(&self, id: credit::Id) -> bool {
        self.entries.contains_key(&id)
    }

    /// Returns whether the request `fingerprint` has a live credit.
    pub(crate) fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprints.contains_key(&fingerprint)
    }

    /// Returns the live credits.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (credit::Id, &Entry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Returns the number of live credits.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a credit whose id is not live yet.
    pub(crate) fn insert(&mut self, id: credit::Id, entry: Entry) {
        self.by_end.insert((entry.ends_at, id));
        if let Some(fingerprint) = entry.fingerprint {
            *self.fingerprints.entry(fingerprint).or_default() += 1;
        }
        self.entries.insert(id, entry);
    }

    /// Removes the credit `id`.
    pub(crate) fn remove(&mut self, id: credit::Id) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.by_end.remove(&(entry.ends_at, id));
        if let Some(fingerprint) = entry.fingerprint {
            self.remove_fingerprint(fingerprint);
        }
        Some(entry)
    }

    /// Removes a credit that has ended at `now`.
    pub(crate) fn pop_ended(&mut self, now: Instant) -> Option<Entry> {
        let (ends_at, id) = *self.by_end.first()?;
        if ends_at > now {
            return None;
        }
        self.remove(id)
    }

    /// Returns when the next credit ends unless it is released earlier.
    pub(crate) fn next_end(&self) -> Option<Instant> {
        self.by_end.first().map(|(ends_at, _)| *ends_at)
    }

    fn remove_fingerprint(&mut self, fingerprint: Fingerprint) {
        let Some(count) = self.fingerprints.get_mut(&fingerprint) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.fingerprints.remove(&fingerprint);
        }
    }
}
