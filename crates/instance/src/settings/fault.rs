//! What is wrong with the settings.

use std::fmt;

use thiserror::Error;

/// What is wrong with one setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The setting is needed and absent.
    #[error("--{flag} is missing")]
    Missing {
        /// The flag.
        flag: String,
    },
    /// The value cannot be used.
    #[error("--{flag} cannot be '{value}': it {expected}")]
    Value {
        /// The flag.
        flag: String,
        /// The value that was given; a placeholder where it is a secret.
        value: String,
        /// What the setting takes.
        expected: String,
    },
    /// A file cannot be read.
    #[error("--{flag} names {path}, which cannot be read: {reason}")]
    File {
        /// The flag.
        flag: String,
        /// The path of the file.
        path: String,
        /// Why it cannot be read.
        reason: String,
    },
}

/// All that is wrong with the settings.
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
