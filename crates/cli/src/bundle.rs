//! Commands on bundles.

pub mod check;
pub mod keygen;
pub mod show;
pub mod sign;
pub mod submit;

use std::fmt::{self, Display};

use contract::change::{Change, Danger, Step};
use contract::Bundle;
use jiff::Timestamp;
use serde::Serialize;

/// What a bundle changes, for print.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Preview {
    /// The changes.
    pub changes: Vec<Step>,
    /// The changes that could do harm.
    pub dangers: Vec<Danger>,
}

impl Preview {
    /// Returns what changes when `new` takes the place of `old` at the time `now`.
    pub fn new(old: Option<&Bundle>, new: &Bundle, now: Timestamp) -> Self {
        let change = Change::between(old, new);
        Self {
            changes: change.steps().to_vec(),
            dangers: change.dangers(now),
        }
    }
}

impl Display for Preview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            writeln!(f, "Nothing changes but the version.")?;
        } else {
            writeln!(f, "What changes:")?;
        }
        for step in &self.changes {
            writeln!(f, "  - {step}")?;
        }
        if !self.dangers.is_empty() {
            writeln!(f, "What could do harm:")?;
        }
        for danger in &self.dangers {
            writeln!(f, "  ! {danger} [{}]", danger.code())?;
        }
        Ok(())
    }
}
