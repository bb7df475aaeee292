//! Leads the move of one service.

use clock::Instant;
use contract::{Service, Shift};
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
pub struct Leader {
    shift: Shift,
    controller: Controller,
    /// Since when the lead's duty is held.
    since: Instant,
    path: String,
    revision: Option<Revision>,
    /// What is to be written next.
    unwritten: Option<Progress>,
}

impl Leader {
    /// Takes up the move of `service`, where `known` is what is known of it.
    pub(super) fn resume(
        service: &Service,
        shift: &Shift,
        known: Option<&Progress>,
        revision: Option<Revision>,
        unix_secs: u64,
        since: Instant,
        now: Instant,
    ) -> Self {
        let plan = Plan::new(shift, service.routes.len(), unix_secs, now);
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
    pub(super) fn matches(&self, shift: &Shift, since: Instant) -> bool {
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
    pub(super) fn record_written(&mut self, progress: &Progress, revision: Revision) {
        self.revision = Some(revision);
        if self.unwritten.as_ref() == Some(progress) {
            self.unwritten = None;
        }
    }

    /// Notes the revision that the object has in the store.
    pub(super) fn set_revision(&mut self, revision: Option<Revision>) {
        self.revision = revision;
    }
}

/// Returns the path of the object that keeps the move `shift`. The deadline tells moves apart.
pub(super) fn path(service: &Service, shift: &Shift) -> String {
    rollout::progress::path(&service.name, shift.deadline)
}
