//! What became of a call.

/// What became of a call, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The answer is the whole answer of a backend server to this call.
    Complete,
    /// The call has not run and never will.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as it stands in the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}
