//! Why a move is where it is.

use std::fmt;

use contract::id;

/// Why a move is where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The move has not begun.
    Waiting,
    /// The versions are being compared.
    Comparing,
    /// The share does not grow while there is some evidence against the new version.
    Holding,
    /// The new version looked worse than the old one did, and the two are compared once more.
    Confirming,
    /// All traffic is moved, and a late fault would still take it back.
    Watching,
    /// All traffic is moved.
    Done,
    /// The new version fails more often than the old one.
    Failing {
        /// The route, unless the fault shows on all routes together.
        route: Option<id::Route>,
    },
    /// The new version is slower than the old one.
    Slow {
        /// The route, unless the fault shows on all routes together.
        route: Option<id::Route>,
    },
    /// The deadline came while there was doubt about the new version.
    Inconclusive,
    /// The deadline came before the new version carried all traffic.
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
