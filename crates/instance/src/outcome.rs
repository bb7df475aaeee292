//! The outcome of a call.

/// The outcome of a call, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The answer is the complete response of a backend server to this call.
    Complete,
    /// The call has not run and never will.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as written in the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}
