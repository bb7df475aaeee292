//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// Done.
    Done = 0,
    /// Refused, or faulty: nothing has changed.
    Refused = 1,
    /// The command line or the environment is wrong.
    Usage = 2,
    /// The platform, or every instance, cannot be reached: nothing has changed.
    Unreachable = 3,
    /// A write's answer was lost: it may have taken effect.
    Unknown = 4,
    /// Another bundle was accepted first: nothing has changed.
    Conflict = 5,
    /// A file or the terminal could not be read or written.
    File = 6,
}

impl Code {
    /// Returns the code of what `clap` ended with: help and version are done.
    pub(crate) fn of_usage(error: &clap::Error) -> Self {
        match error.use_stderr() {
            true => Code::Usage,
            false => Code::Done,
        }
    }
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        ExitCode::from(code as u8)
    }
}
