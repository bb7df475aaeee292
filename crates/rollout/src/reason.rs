//! Reasons for the state of a rollout.

use std::fmt;

use contract::id;

/// The reason for the state of a rollout. Its text is stored and shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The rollout has not begun.
    Waiting,
    /// The versions are being compared.
    Comparing,
    /// The share is held because there is some evidence against the new version.
    Holding,
    /// The new version looks worse than the old one did before, and a control comparison is
    /// running.
    Confirming,
    /// The new version carries all traffic, and a late fault would still roll it back.
    Watching,
    /// The new version carries all traffic, for good.
    Done,
    /// The new version fails more often than the old one.
    Failing {
        /// The route, or `None` if the fault was found on all routes together.
        route: Option<id::Route>,
    },
    /// The new version is slower than the old one.
    Slow {
        /// The route, or `None` if the fault was found on all routes together.
        route: Option<id::Route>,
    },
    /// The deadline passed while there was some evidence against the new version.
    Inconclusive,
    /// The deadline passed before the new version carried all traffic.
    Deadline,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Waiting => "the move has not begun",
            Reason::Comparing => "the answers of both versions are being compared",
            Reason::Holding => "the share waits: there is some evidence against the new version",
            Reason::Confirming => {
                "the new version got worse: the old one has traffic again for a comparison"
            }
            Reason::Watching => "all traffic is moved; a late fault would take it back",
            Reason::Done => "all traffic is moved",
            Reason::Failing { route: None } => "the new version fails more often",
            Reason::Failing { route: Some(route) } => {
                return write!(f, "the new version fails more often on route {route}")
            }
            Reason::Slow { route: None } => "the new version is slower",
            Reason::Slow { route: Some(route) } => {
                return write!(f, "the new version is slower on route {route}")
            }
            Reason::Inconclusive => "the deadline passed while the new version was in doubt",
            Reason::Deadline => "the deadline passed before there were enough answers",
        })
    }
}
