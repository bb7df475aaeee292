//! Decides on the rollout of one service.

use clock::Instant;
use contract::{Rollout, Service};
use platform::Revision;
use rollout::action::Action;
use rollout::controller::Controller;
use rollout::evidence::Evidence;
use rollout::plan::Plan;
use rollout::progress::Progress;

/// The state of a rollout that is to be written to the store.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) path: String,
    pub(super) revision: Option<Revision>,
    pub(super) progress: Progress,
}

/// Decides on the rollout of one service.
#[derive(Debug)]
pub struct Leader {
    shift: Rollout,
    controller: Controller,
    /// Since when the leader's duty has been held.
    since: Instant,
    path: String,
    revision: Option<Revision>,
    /// The state to write next.
    unwritten: Option<Progress>,
}

impl Leader {
    /// Resumes the rollout of `service` from the state `known`, or starts it if there is none.
    /// `unix_secs` is the current time in seconds since 1970-01-01 UTC.
    pub(super) fn resume(
        service: &Service,
        shift: &Rollout,
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

    /// Returns whether this leads `shift` under a duty held since `since`.
    pub(super) fn matches(&self, shift: &Rollout, since: Instant) -> bool {
        self.shift == *shift && self.since == since
    }

    /// Adds the responses that an owner of a pool has counted.
    pub(super) fn merge(&mut self, evidence: &Evidence) {
        self.controller.merge(evidence);
    }

    /// Makes the decisions due at `now` and returns the new state.
    pub(super) fn step(&mut self, now: Instant) -> Progress {
        for action in self.controller.step(now) {
            if let Action::Record(progress) = action {
                self.unwritten = Some(progress);
            }
        }
        self.controller.progress()
    }

    /// Returns the state to write, if any.
    pub(super) fn record(&self) -> Option<Record> {
        let progress = self.unwritten.clone()?;
        Some(Record {
            path: self.path.clone(),
            revision: self.revision,
            progress,
        })
    }

    /// Records that `progress` was written.
    pub(super) fn record_written(&mut self, progress: &Progress, revision: Revision) {
        self.revision = Some(revision);
        if self.unwritten.as_ref() == Some(progress) {
            self.unwritten = None;
        }
    }

    /// Sets the revision that the object has in the store.
    pub(super) fn set_revision(&mut self, revision: Option<Revision>) {
        self.revision = revision;
    }
}

/// Returns the path of the object that holds the state of the rollout `shift`. The deadline
/// distinguishes rollouts of one service.
pub(super) fn path(service: &Service, shift: &Rollout) -> String {
    rollout::progress::path(&service.name, shift.deadline)
}
