//! What becomes of a call after an attempt that gave no whole answer.

use clock::Instant;
use contract::id;

use super::{Budget, Context};

/// How a call that is not tried again ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// No attempt has run or ever will.
    NotRun,
    /// An attempt may have run.
    Unknown,
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call is tried again.
    Retry {
        /// The servers to keep off.
        avoid: Vec<id::Server>,
    },
    /// The call ends.
    Stop(Stop),
}

impl Decision {
    /// Decides about a call, and takes a retry from `budget` if it is tried again.
    pub fn decide(context: &Context<'_>, budget: &mut Budget, now: Instant) -> Self {
        if context.allows_retry(now) && budget.withdraw() {
            let avoid = context.tried.to_vec();
            return Decision::Retry { avoid };
        }
        Decision::Stop(context.stop())
    }
}
