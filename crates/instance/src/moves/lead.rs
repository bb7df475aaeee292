//! Leads the move of one service.

use clock::Instant;
use contract::{Rollout, Service};
use platform::Revision;
use rollout::action::Action;
use rollout::controller::Controller;
use rollout::evidence::Evidence;
use rollout::plan::Plan;
use rollout::progress::Progress;

/// What is to be written of a move.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) path: String,
    pub(super) revision: Option<Revision>,
    pub(super) progress: Progress,
}

/// Leads the move of one service.
#[derive(Debug)]
pub struct Lead {
    shift: Rollout,
    controller: Controller,
    /// Since when the lead's duty is held.
    since: Instant,
    path: String,
    revision: Option<Revision>,
    /// What is to be written next.
    unwritten: Option<Progress>,
}

impl Lead {
    /// Takes up the move of `service`, where `known` is what is known of it.
    pub(super) fn open(
        service: &Service,
        shift: &Rollout,
        known: Option<&Progress>,
        revision: Option<Revision>,
        wall: u64,
        since: Instant,
        now: Instant,
    ) -> Self {
        let plan = Plan::new(shift, service.routes.len(), wall, now);
        let controller = match known {
            Some(progress) => Controller::resume(plan, progress, now),
            None => Controller::new(plan),
        };
        let path = path(service, shift);
        Self {
            shift: shift.clone(),
            controller,
            since,
            path,
            revision,
            unwritten: None,
        }
    }

    /// Returns whether this leads `shift` by the right of a duty held since `since`.
    pub(super) fn is_of(&self, shift: &Rollout, since: Instant) -> bool {
        self.shift == *shift && self.since == since
    }

    /// Counts the answers that an owner of a pool reports.
    pub(super) fn merge(&mut self, evidence: &Evidence) {
        self.controller.merge(evidence);
    }

    /// Decides what is to be decided by now.
    pub(super) fn step(&mut self, now: Instant) -> Progress {
        for action in self.controller.step(now) {
            if let Action::Record(progress) = action {
                self.unwritten = Some(progress);
            }
        }
        self.controller.progress()
    }

    /// Returns what is to be written.
    pub(super) fn record(&self) -> Option<Record> {
        let progress = self.unwritten.clone()?;
        Some(Record {
            path: self.path.clone(),
            revision: self.revision,
            progress,
        })
    }

    /// Notes that `progress` was written.
    pub(super) fn written(&mut self, progress: &Progress, revision: Revision) {
        self.revision = Some(revision);
        if self.unwritten.as_ref() == Some(progress) {
            self.unwritten = None;
        }
    }

    /// Notes the revision that the object has in the store.
    pub(super) fn found(&mut self, revision: Option<Revision>) {
        self.revision = revision;
    }
}

/// Returns the path of the object that keeps the move `shift`. The deadline tells moves apart.
pub(super) fn path(service: &Service, shift: &Rollout) -> String {
    rollout::progress::path(&service.name, shift.deadline)
}
