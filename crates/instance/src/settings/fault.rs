//! Errors in the settings.

use std::fmt;

use thiserror::Error;

/// An error in one setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// A required setting is missing.
    #[error("--{flag} is missing")]
    Missing {
        /// The flag.
        flag: String,
    },
    /// The value is invalid.
    #[error("--{flag} cannot be '{value}': it {expected}")]
    Value {
        /// The flag.
        flag: String,
        /// The given value, or a placeholder if the value is a secret.
        value: String,
        /// What a valid value looks like, as the predicate of "it ...".
        expected: String,
    },
    /// A file cannot be read.
    #[error("--{flag} names {path}, which cannot be read: {reason}")]
    File {
        /// The flag.
        flag: String,
        /// The path of the file.
        path: String,
        /// The error from reading it.
        reason: String,
    },
}

/// All errors in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}
