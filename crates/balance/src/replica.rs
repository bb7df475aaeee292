//! One kind of record, as the store had it at a revision.
//!
//! Invariant: [`Replica::revision`] never falls. A feed is changed as a whole by a [`Delta`] that
//! follows on what is held, so that it always equals the store's records at its revision, whoever
//! read them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::record::Record;

/// The changes that are kept for instances that lag. Older ones are sent whole instead.
const LOG_LENGTH: usize = 64;

/// A change of one record; without a record it was deleted, or cannot be read.
pub type Change = (String, Option<Record>);

/// Changes of a feed from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that the changes follow on; none when they are all records there are.
    pub after: Option<u64>,
    /// The revision that they lead to.
    pub revision: u64,
    /// The changes in their order.
    pub changes: Vec<Change>,
    /// Whether records may be missing only because the store was away when they were to be renewed.
    pub after_outage: bool,
}

/// One kind of record, as the store had it at a revision.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: u64,
    records: BTreeMap<String, Record>,
    log: VecDeque<Delta>,
}

impl Replica {
    /// Returns the revision of the store that the records are of; 0 before any was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records by name.
    pub fn records(&self) -> &BTreeMap<String, Record> {
        &self.records
    }

    /// Applies `delta` if it follows on what is held and leads further. Returns whether it did.
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

    /// Returns what leads from `revision` to what is held, or `None` if there is nothing newer.
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
        let present = delta
            .changes
            .iter()
            .filter_map(|(n, r)| Some((n.clone(), r.clone()?)));
        self.records = present.collect();
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
        while self.log.len() > LOG_LENGTH {
            self.log.pop_front();
        }
    }
}
