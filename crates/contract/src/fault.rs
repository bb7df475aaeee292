//! Faults of a bundle: what is wrong, where, and how to correct it.

mod kind;
mod path;

use std::fmt;

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use thiserror::Error;

pub use kind::Kind;
pub(crate) use path::labels;
pub use path::Path;

/// One fault of a bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The location of the fault in the bundle.
    pub path: Path,
    /// The line of the text, counted from 1; absent if the bundle was not read from text.
    pub line: Option<usize>,
    /// What is wrong.
    pub kind: Kind,
}

impl Fault {
    /// Returns a fault at `path`, without a line.
    pub fn new(path: Path, kind: Kind) -> Self {
        Self {
            path,
            line: None,
            kind,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_root() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{} [{}]", self.kind, self.kind.code())
    }
}

impl Serialize for Fault {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut fault = serializer.serialize_struct("Fault", 4)?;
        fault.serialize_field("code", self.kind.code())?;
        fault.serialize_field("path", self.path.as_str())?;
        fault.serialize_field("line", &self.line)?;
        fault.serialize_field("message", &self.kind.to_string())?;
        fault.end()
    }
}

/// All faults of a bundle, ordered by line. Never empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Error)]
#[serde(transparent)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Returns `faults` ordered by line.
    pub fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.line);
        Self(faults)
    }

    /// Returns the faults.
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }

    /// Returns an error if there is any fault.
    pub fn into_result(self) -> Result<(), Self> {
        match self.0.is_empty() {
            true => Ok(()),
            false => Err(self),
        }
    }
}

impl IntoIterator for Faults {
    type Item = Fault;
    type IntoIter = std::vec::IntoIter<Fault>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}
