//! A request that is suspected of crashing servers.

use clock::Instant;

use super::incident::Incident;
use super::CRASH_LIMIT;

/// A request that is suspected of crashing servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// At most [`CRASH_LIMIT`] crashes, the earliest first.
    incidents: Vec<Incident>,
    /// The number of crashes under copies that were tried after a probation.
    failed_trials: u32,
}

impl Suspect {
    /// Adds a crash unless it may coincide with a known one. If there are as many as can be kept, the
    /// latest ones are kept with `keep_latest`, else the earliest. Returns whether it was added.
    pub(super) fn add(&mut self, incident: Incident, keep_latest: bool) -> bool {
        if self.incidents.iter().any(|i| i.may_coincide(&incident)) {
            return false;
        }
        if self.incidents.len() == CRASH_LIMIT {
            let is_later = self.earliest().is_some_and(|at| at < incident.at);
            if !keep_latest || !is_later {
                return false;
            }
            self.incidents.remove(0);
        }
        self.incidents.push(incident);
        self.incidents.sort_by_key(|i| i.at);
        true
    }

    pub(super) fn incidents(&self) -> &[Incident] {
        &self.incidents
    }

    pub(super) fn failed_trials(&self) -> u32 {
        self.failed_trials
    }

    pub(super) fn count_failed_trial(&mut self) {
        self.failed_trials = self.failed_trials.saturating_add(1);
    }

    pub(super) fn earliest(&self) -> Option<Instant> {
        self.incidents.first().map(|i| i.at)
    }

    pub(super) fn latest(&self) -> Option<Instant> {
        self.incidents.last().map(|i| i.at)
    }
}
