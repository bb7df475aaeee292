//! Label values of metrics. Spans use some of them too.

use policy::feedback::Outcome;
use wire::claims::Verdict;
use wire::Fault;

/// Returns the label value for an attempt's outcome.
pub(crate) fn attempt(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Failed => "failed",
        Outcome::Shed => "shed",
        Outcome::Crashed => "crashed",
        Outcome::Unreachable => "unreachable",
        Outcome::TimedOut => "timed-out",
        Outcome::Abandoned => "abandoned",
    }
}

/// Returns the label value for a claim's verdict.
pub(crate) fn verdict(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Run => "run",
        Verdict::Replay(_) => "replay",
        Verdict::Unknown => "unknown",
        Verdict::Running => "running",
        Verdict::Mismatch => "mismatch",
        Verdict::Refused => "refused",
        Verdict::NotOwner => "not-owner",
    }
}

/// Returns the label value for the fault in a rejected frame.
pub(crate) fn fault(fault: &Fault) -> &'static str {
    match fault {
        Fault::TooLarge { .. } => "too-large",
        Fault::TooShort { .. } => "too-short",
        Fault::Version { .. } => "version",
        Fault::Tag => "tag",
        Fault::Malformed { .. } => "malformed",
        _ => "other",
    }
}
