//! The decision about a call after an attempt without a complete response.

use clock::Instant;
use contract::id;

use super::{Budget, Context};

/// How a call that is not retried ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// No attempt has run or will run.
    NotRun,
    /// An attempt may have run.
    Unknown,
}

/// Whether a call is retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call is retried.
    Retry {
        /// The servers to avoid.
        avoid: Vec<id::Server>,
    },
    /// The call ends.
    Stop(Stop),
}

impl Decision {
    /// Decides whether to retry a call, and takes the retry from `budget`.
    pub fn decide(context: &Context<'_>, budget: &mut Budget, now: Instant) -> Self {
        if context.allows_retry(now) && budget.withdraw() {
            let avoid = context.tried.to_vec();
            return Decision::Retry { avoid };
        }
        Decision::Stop(context.stop())
    }
}
