//! The status of all rollouts as known to one instance.

use std::collections::HashMap;

use contract::{id, Bundle, Rollout};
use rollout::progress::Progress;

use super::status::most_advanced;
use super::{Leader, Status};

/// The status of all rollouts as known to one instance, and the rollouts that it leads.
#[derive(Debug, Default)]
pub struct Table {
    known: HashMap<id::Service, Progress>,
    pub(super) leaders: HashMap<id::Service, Leader>,
}

impl Table {
    /// Merges the status known to another instance or the store; the more advanced one is kept.
    pub(super) fn merge(&mut self, status: Status) {
        let Status { service, progress } = status;
        let progress = match self.known.remove(&service) {
            Some(known) if same_rollout(&known, &progress) => most_advanced(known, progress),
            _ => progress,
        };
        self.known.insert(service, progress);
    }

    /// Replaces the status by that received from the leader.
    pub(super) fn replace(&mut self, status: Status) {
        let Status { service, progress } = status;
        self.known.insert(service, progress);
    }

    /// Returns the state of the rollout `shift` of `service`, if known.
    pub(super) fn progress(&self, service: &id::Service, shift: &Rollout) -> Option<&Progress> {
        let progress = self.known.get(service)?;
        let same = progress.from == shift.from && progress.to == shift.to;
        (same && progress.deadline == shift.deadline).then_some(progress)
    }

    /// Returns the traffic share of the new version in the rollout `shift` of `service`, 0 if
    /// unknown.
    pub fn share(&self, service: &id::Service, shift: &Rollout) -> f64 {
        self.progress(service, shift)
            .map_or(0.0, |progress| progress.share)
    }

    /// Returns the status of all rollouts.
    pub(super) fn statuses(&self) -> Vec<Status> {
        let known = self.known.iter().map(|(service, progress)| Status {
            service: service.clone(),
            progress: progress.clone(),
        });
        known.collect()
    }

    /// Removes the services that have no rollout in `bundle`.
    pub(super) fn retain(&mut self, bundle: &Bundle) {
        let has_rollout = |name: &id::Service| {
            bundle
                .services
                .iter()
                .any(|s| s.name == *name && s.rollout.is_some())
        };
        self.known.retain(|name, _| has_rollout(name));
        self.leaders.retain(|name, _| has_rollout(name));
    }
}

fn same_rollout(a: &Progress, b: &Progress) -> bool {
    a.from == b.from && a.to == b.to && a.deadline == b.deadline
}
