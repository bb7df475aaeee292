//! The status of a rollout as known to one instance.

use contract::{id, Rollout};
use rollout::progress::Progress;
use rollout::state::State;
use serde::{Deserialize, Serialize};

/// The status of a service's rollout as known to one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The service.
    pub service: id::Service,
    /// The state of the rollout.
    pub progress: Progress,
}

impl Status {
    /// Returns whether this is the status of the rollout `shift`.
    pub fn matches(&self, shift: &Rollout) -> bool {
        let progress = &self.progress;
        progress.from == shift.from
            && progress.to == shift.to
            && progress.deadline == shift.deadline
    }
}

/// Returns the more advanced of two states of one rollout.
///
/// A rollback ranks above every other state, since it is final; a completed rollout ranks above one
/// in progress.
pub(super) fn most_advanced(a: Progress, b: Progress) -> Progress {
    match rank(&a) >= rank(&b) {
        true => a,
        false => b,
    }
}

fn rank(progress: &Progress) -> (u8, u64) {
    const SHARE_STEPS: f64 = 1e6;
    let state = match progress.state {
        State::Planned => 0,
        State::Canary => 1,
        State::Ramping => 2,
        State::Done => 3,
        State::RolledBack => 4,
    };
    (state, (progress.share * SHARE_STEPS) as u64)
}
