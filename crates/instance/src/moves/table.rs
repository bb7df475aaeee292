//! What an instance knows of all moves.

use std::collections::HashMap;

use contract::{id, Bundle, Rollout};
use rollout::progress::Progress;

use super::knowledge::latest;
use super::{Knowledge, Lead};

/// What an instance knows of all moves.
#[derive(Debug, Default)]
pub struct Table {
    known: HashMap<id::Service, Progress>,
    pub(super) leads: HashMap<id::Service, Lead>,
}

impl Table {
    /// Takes in what another instance or the store knows.
    pub(super) fn learn(&mut self, knowledge: Knowledge) {
        let Knowledge { service, progress } = knowledge;
        let progress = match self.known.remove(&service) {
            Some(known) if same_move(&known, &progress) => latest(known, progress),
            _ => progress,
        };
        self.known.insert(service, progress);
    }

    /// Replaces what is known, by the word of the lead.
    pub(super) fn obey(&mut self, knowledge: Knowledge) {
        let Knowledge { service, progress } = knowledge;
        self.known.insert(service, progress);
    }

    /// Returns what is known of the move `shift` of `service`.
    pub(super) fn progress(&self, service: &id::Service, shift: &Rollout) -> Option<&Progress> {
        let progress = self.known.get(service)?;
        let same = progress.from == shift.from && progress.to == shift.to;
        (same && progress.deadline == shift.deadline).then_some(progress)
    }

    /// Returns the share of the new version in the move `shift` of `service`.
    pub fn share(&self, service: &id::Service, shift: &Rollout) -> f64 {
        self.progress(service, shift)
            .map_or(0.0, |progress| progress.share)
    }

    /// Returns all that is known.
    pub(super) fn all(&self) -> Vec<Knowledge> {
        let known = self.known.iter().map(|(service, progress)| Knowledge {
            service: service.clone(),
            progress: progress.clone(),
        });
        known.collect()
    }

    /// Forgets the moves that `bundle` does not have.
    pub(super) fn retain(&mut self, bundle: &Bundle) {
        let has_move = |name: &id::Service| {
            bundle
                .services
                .iter()
                .any(|s| s.name == *name && s.rollout.is_some())
        };
        self.known.retain(|name, _| has_move(name));
        self.leads.retain(|name, _| has_move(name));
    }
}

fn same_move(a: &Progress, b: &Progress) -> bool {
    a.from == b.from && a.to == b.to && a.deadline == b.deadline
}
