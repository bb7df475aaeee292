//! A request that is suspected of crashing servers.

use clock::Instant;

use super::incident::Incident;
use super::CRASH_LIMIT;

/// A request that is suspected of crashing servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// At most [`CRASH_LIMIT`] crashes, the earliest first.
    incidents: Vec<Incident>,
    /// The number of crashes that were recorded, which may exceed [`CRASH_LIMIT`].
    recorded: u32,
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
        self.recorded = self.recorded.saturating_add(1);
        true
    }

    pub(super) fn incidents(&self) -> &[Incident] {
        &self.incidents
    }

    /// Returns how many crashes were recorded beyond those after which a request is refused.
    pub(super) fn excess(&self) -> u32 {
        let limit = u32::try_from(CRASH_LIMIT).unwrap_or(u32::MAX);
        self.recorded.saturating_sub(limit)
    }

    pub(super) fn earliest(&self) -> Option<Instant> {
        self.incidents.first().map(|i| i.at)
    }

    pub(super) fn latest(&self) -> Option<Instant> {
        self.incidents.last().map(|i| i.at)
    }
}
