//! The store and the receiver, for the search over all orders of events.

use std::collections::BTreeMap;

use balance::duty::{Call, Condition, Generation, Outcome, Reading, Stored, Write};

/// The length of a lease, in seconds. A second is the unit of time.
pub(super) const LEASE: u64 = 2;

/// The number of earlier states from which the store can be restored, besides the present one.
const MAX_COPIES: usize = 2;

/// What the receiver has accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Receiver {
    pub(super) counts: BTreeMap<u64, BTreeMap<String, u64>>,
    last: Option<(Generation, usize)>,
    /// When each holder acted last.
    acted: BTreeMap<usize, u64>,
}

impl Receiver {
    /// Returns the number of instances whose reports were accepted.
    pub(super) fn holders(&self) -> usize {
        self.acted.len()
    }

    pub(super) fn accept(&mut self, call: &Call, holder: usize, now: u64) -> Result<(), String> {
        let report = &call.report;
        let counts = self
            .counts
            .entry(report.window)
            .or_insert_with(|| report.counts.clone());
        if *counts != report.counts {
            return Err(format!("window {} with other counts", report.window));
        }
        if let Some((generation, last)) = self.last {
            if call.generation < generation {
                return Err("a lower generation after a higher one".to_owned());
            }
            if call.generation == generation && holder != last {
                return Err("two holders with the same generation".to_owned());
            }
            let earlier = self.acted.get(&holder);
            if holder != last && earlier.is_some_and(|at| now - at < LEASE) {
                return Err("holders A, B, A within the time of a lease".to_owned());
            }
        }
        self.last = Some((call.generation, holder));
        self.acted.insert(holder, now);
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Store {
    pub(super) era: u64,
    pub(super) revision: u64,
    pub(super) stored: Option<Stored>,
    pub(super) copies: Vec<(u64, Option<Stored>)>,
}

impl Store {
    pub(super) fn read(&self) -> Reading {
        Reading {
            era: self.era,
            stored: self.stored.clone(),
        }
    }

    pub(super) fn admits(&self, condition: Condition) -> bool {
        match condition {
            Condition::Absent => self.stored.is_none(),
            Condition::Revision(revision) => {
                self.stored.as_ref().is_some_and(|s| s.revision == revision)
            }
        }
    }

    pub(super) fn write(&mut self, write: &Write) -> Outcome {
        let era = self.era;
        if !self.admits(write.condition) {
            return Outcome::Conflict { era };
        }
        self.copies.push((self.revision, self.stored.clone()));
        if self.copies.len() > MAX_COPIES {
            self.copies.remove(0);
        }
        self.revision += 1;
        let revision = self.revision;
        self.stored = Some(Stored {
            revision,
            object: write.object.clone(),
        });
        Outcome::Written { era, revision }
    }
}
