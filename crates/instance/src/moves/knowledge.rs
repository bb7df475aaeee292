//! What an instance knows of a move.

use contract::{id, Rollout};
use rollout::progress::Progress;
use rollout::state::State;
use serde::{Deserialize, Serialize};

/// What an instance knows of the move of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Knowledge {
    /// The service.
    pub service: id::Service,
    /// How far the move is.
    pub progress: Progress,
}

impl Knowledge {
    /// Returns whether this is about the move `shift`.
    pub fn is_of(&self, shift: &Rollout) -> bool {
        let progress = &self.progress;
        progress.from == shift.from
            && progress.to == shift.to
            && progress.deadline == shift.deadline
    }
}

/// Returns the more advanced of two reports of one move.
///
/// Taken back goes before all else, since it is final; a finished move goes before one under way.
pub(super) fn latest(a: Progress, b: Progress) -> Progress {
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
