//! A replica of one kind of record, as the store had it at a revision.
//!
//! Invariant: [`Replica::revision`] never decreases. A replica applies a [`Delta`] completely or
//! not at all, and only if it connects to the current revision, so that the replica always equals
//! the store's records at its revision, whichever instance read them.
//!
//! A delta may have a [`Patch`] in place of a configuration. A replica whose configuration is not the
//! one that the patch changes rejects the delta, and needs all records.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::patch::{self, Patch};
use crate::record::Record;

/// The number of deltas kept for instances that lag behind. Instances that lag further get all
/// records.
const MAX_LOG_DELTAS: usize = 64;

/// The most changes in the log, where each part of a patch counts as one. All records are shorter than
/// a longer log.
const MAX_LOG_CHANGES: usize = 4096;

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
    ///
    /// # Errors
    ///
    /// If `delta` has a patch for another configuration. The replica stays as it is.
    pub fn apply(&mut self, delta: &Delta) -> Result<bool, patch::Error> {
        if delta.revision <= self.revision {
            return Ok(false);
        }
        match delta.after {
            None => self.replace(delta)?,
            Some(after) if after <= self.revision => self.extend(delta)?,
            Some(_) => return Ok(false),
        }
        self.revision = delta.revision;
        Ok(true)
    }

    /// Returns `delta`, which was read from the store, with a patch in place of a configuration of
    /// which this replica has an earlier version.
    #[must_use]
    pub fn condense(&self, mut delta: Delta) -> Delta {
        retain_last_configs(&mut delta.changes);
        for (_, record) in &mut delta.changes {
            if let Some(Record::Config(config)) = record {
                config.normalize();
            }
        }
        if delta.after.is_none() {
            self.omit_known(&mut delta);
        }
        for (name, record) in &mut delta.changes {
            let patch = match (self.config(name), &record) {
                (Some(base), Some(Record::Config(target))) => Patch::between(base, target),
                _ => None,
            };
            if let Some(patch) = patch {
                *record = Some(Record::ConfigPatch(Box::new(patch)));
            }
        }
        delta
    }

    /// Turns a delta with all records into one from the current revision, if all that this replica has
    /// are configurations. They have a version of their own, so that a replica at any later revision
    /// can tell whether it has them.
    fn omit_known(&self, delta: &mut Delta) {
        let is_config = |record: &Record| matches!(record, Record::Config(_));
        if self.records.is_empty() || !self.records.values().all(is_config) {
            return;
        }
        let is_listed = |name: &String| delta.changes.iter().any(|(n, _)| n == name);
        let removed: Vec<Change> = self
            .records
            .keys()
            .filter(|name| !is_listed(name))
            .map(|name| (name.clone(), None))
            .collect();
        delta
            .changes
            .retain(|(name, record)| self.records.get(name) != record.as_ref());
        delta.changes.extend(removed);
        delta.after = Some(self.revision);
    }

    fn config(&self, name: &str) -> Option<&Config> {
        match self.records.get(name) {
            Some(Record::Config(config)) => Some(config),
            _ => None,
        }
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

    fn replace(&mut self, delta: &Delta) -> Result<(), patch::Error> {
        let resolved = resolve(&BTreeMap::new(), delta)?;
        let records = resolved.into_iter().filter_map(|(n, r)| Some((n, r?)));
        self.records = records.collect();
        self.log.clear();
        Ok(())
    }

    fn extend(&mut self, delta: &Delta) -> Result<(), patch::Error> {
        for (name, record) in resolve(&self.records, delta)? {
            match record {
                Some(record) => self.records.insert(name, record),
                None => self.records.remove(&name),
            };
        }
        self.log.push_back(Delta {
            after: Some(self.revision),
            ..delta.clone()
        });
        self.trim_log();
        Ok(())
    }

    fn trim_log(&mut self) {
        let changes = |delta: &Delta| delta.changes.iter().map(weight).sum::<usize>();
        let mut total: usize = self.log.iter().map(changes).sum();
        while self.log.len() > MAX_LOG_DELTAS || total > MAX_LOG_CHANGES {
            let Some(oldest) = self.log.pop_front() else {
                return;
            };
            total -= changes(&oldest);
        }
    }
}

/// Removes the configurations that a later change of the same record supersedes. The store may return
/// several versions at once, and a patch leads from the version before all of them to the last.
fn retain_last_configs(changes: &mut Vec<Change>) {
    let mut later: BTreeSet<String> = BTreeSet::new();
    let mut retained: Vec<Change> = Vec::new();
    for (name, record) in changes.drain(..).rev() {
        let is_config = matches!(record, Some(Record::Config(_)));
        let is_last = later.insert(name.clone());
        if is_last || !is_config {
            retained.push((name, record));
        }
    }
    retained.reverse();
    *changes = retained;
}

/// Returns the records that result from the changes of `delta` to `known`, or `None` for those that
/// are removed. Patches that lead to a version which is already known are skipped.
fn resolve(
    known: &BTreeMap<String, Record>,
    delta: &Delta,
) -> Result<BTreeMap<String, Option<Record>>, patch::Error> {
    let mut resolved: BTreeMap<String, Option<Record>> = BTreeMap::new();
    for (name, change) in &delta.changes {
        let record = match change {
            Some(Record::ConfigPatch(patch)) => {
                let base = match resolved.get(name) {
                    Some(record) => record.as_ref(),
                    None => known.get(name),
                };
                let Some(Record::Config(base)) = base else {
                    return Err(patch::Error::NoBase);
                };
                if base.version >= patch.version() {
                    continue;
                }
                Some(Record::Config(patch.apply(base)?))
            }
            change => change.clone(),
        };
        resolved.insert(name.clone(), record);
    }
    Ok(resolved)
}

/// Returns the number of changes that a change counts as in the log.
fn weight((_, record): &Change) -> usize {
    match record {
        Some(Record::Config(config)) => {
            let tenants = config.tenants.as_ref().map_or(0, |tenants| tenants.len());
            config.routes.len() + config.services.len() + tenants
        }
        Some(Record::ConfigPatch(patch)) => patch.parts(),
        _ => 1,
    }
}
