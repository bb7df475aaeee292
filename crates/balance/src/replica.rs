//! A replica of one kind of record, as the store had it at a revision.
//!
//! Invariant: [`Replica::revision`] never decreases. A replica applies a [`Delta`] completely or
//! not at all, and only if it connects to the current revision, so that the replica always equals
//! the store's records at its revision, whichever instance read them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::record::Record;

/// The number of deltas kept for instances that lag behind. Instances that lag further get all
/// records.
const MAX_LOG_DELTAS: usize = 64;

/// A change of one record by name. `None` if the record was deleted or cannot be parsed.
pub type Change = (String, Option<Record>);

/// The changes from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision to which the changes apply. `None` if they are the complete set of records.
    pub after: Option<u64>,
    /// The revision after the changes.
    pub revision: u64,
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Whether records may be missing only because the store was unavailable when they were due for
    /// renewal.
    pub after_outage: bool,
}

/// A replica of one kind of record, as the store had it at a revision.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: u64,
    records: BTreeMap<String, Record>,
    log: VecDeque<Delta>,
}

impl Replica {
    /// Returns the store's revision of the records, or 0 before any was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records by name.
    pub fn records(&self) -> &BTreeMap<String, Record> {
        &self.records
    }

    /// Applies `delta` if it connects to the current revision and leads to a later one. Returns
    /// whether it did.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if delta.revision <= self.revision {
            return false;
        }
        match delta.after {
            None => self.replace(delta),
            Some(after) if after <= self.revision => self.extend(delta),
            Some(_) => return false,
        }
        self.revision = delta.revision;
        true
    }

    /// Returns the delta from `revision` to the current one, or `None` if there is nothing newer.
    pub fn delta_since(&self, revision: u64) -> Option<Delta> {
        if self.revision <= revision {
            return None;
        }
        let from = self
            .log
            .iter()
            .position(|d| d.after <= Some(revision) && d.revision > revision);
        let changes = match from {
            Some(from) if revision > 0 => {
                let deltas = self.log.iter().skip(from);
                let changes = deltas.flat_map(|d| d.changes.iter().cloned()).collect();
                return Some(Delta {
                    after: Some(revision),
                    revision: self.revision,
                    changes,
                    after_outage: self.log.iter().skip(from).any(|d| d.after_outage),
                });
            }
            _ => self
                .records
                .iter()
                .map(|(n, r)| (n.clone(), Some(r.clone()))),
        };
        Some(Delta {
            after: None,
            revision: self.revision,
            changes: changes.collect(),
            after_outage: false,
        })
    }

    fn replace(&mut self, delta: &Delta) {
        self.log.clear();
        let records = delta
            .changes
            .iter()
            .filter_map(|(n, r)| Some((n.clone(), r.clone()?)));
        self.records = records.collect();
    }

    fn extend(&mut self, delta: &Delta) {
        for (name, record) in &delta.changes {
            match record {
                Some(record) => self.records.insert(name.clone(), record.clone()),
                None => self.records.remove(name),
            };
        }
        self.log.push_back(Delta {
            after: Some(self.revision),
            ..delta.clone()
        });
        while self.log.len() > MAX_LOG_DELTAS {
            self.log.pop_front();
        }
    }
}
