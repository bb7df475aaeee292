//! What an instance knows of all moves.

use std::collections::HashMap;

use contract::{id, Bundle, Shift};
use rollout::progress::Progress;

use super::status::most_advanced;
use super::{Leader, Status};

/// What an instance knows of all moves.
#[derive(Debug, Default)]
pub struct Table {
    known: HashMap<id::Service, Progress>,
    pub(super) leaders: HashMap<id::Service, Leader>,
}

impl Table {
    /// Takes in what another instance or the store knows.
    pub(super) fn merge(&mut self, status: Status) {
        let Status { service, progress } = status;
        let progress = match self.known.remove(&service) {
            Some(known) if same_rollout(&known, &progress) => most_advanced(known, progress),
            _ => progress,
        };
        self.known.insert(service, progress);
    }

    /// Replaces what is known, by the word of the lead.
    pub(super) fn replace(&mut self, status: Status) {
        let Status { service, progress } = status;
        self.known.insert(service, progress);
    }

    /// Returns what is known of the move `shift` of `service`.
    pub(super) fn progress(&self, service: &id::Service, shift: &Shift) -> Option<&Progress> {
        let progress = self.known.get(service)?;
        let same = progress.from == shift.from && progress.to == shift.to;
        (same && progress.deadline == shift.deadline).then_some(progress)
    }

    /// Returns the share of the new version in the move `shift` of `service`.
    pub fn share(&self, service: &id::Service, shift: &Shift) -> f64 {
        self.progress(service, shift)
            .map_or(0.0, |progress| progress.share)
    }

    /// Returns all that is known.
    pub(super) fn statuses(&self) -> Vec<Status> {
        let known = self.known.iter().map(|(service, progress)| Status {
            service: service.clone(),
            progress: progress.clone(),
        });
        known.collect()
    }

    /// Forgets the moves that `bundle` does not have.
    pub(super) fn retain(&mut self, bundle: &Bundle) {
        let has_rollout = |name: &id::Service| {
            bundle
                .services
                .iter()
                .any(|s| s.name == *name && s.shift.is_some())
        };
        self.known.retain(|name, _| has_rollout(name));
        self.leaders.retain(|name, _| has_rollout(name));
    }
}

fn same_rollout(a: &Progress, b: &Progress) -> bool {
    a.from == b.from && a.to == b.to && a.deadline == b.deadline
}
