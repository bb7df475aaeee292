//! What one bundle changes about another.

mod compare;
mod danger;
mod risk;
mod step;

use jiff::Timestamp;

pub use danger::Danger;
pub use step::Step;

use crate::Bundle;

/// What a bundle changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<'a> {
    old: Option<&'a Bundle>,
    new: &'a Bundle,
    steps: Vec<Step>,
}

impl<'a> Change<'a> {
    /// Returns what changes when `new` takes the place of `old`, or is the first bundle.
    pub fn between(old: Option<&'a Bundle>, new: &'a Bundle) -> Self {
        let steps = compare::steps(old.unwrap_or(&Bundle::default()), new);
        Self { old, new, steps }
    }

    /// Returns the single changes, data centres first. Each displays as a sentence.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns whether nothing changes but the version of the bundle.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns what could do harm, given the time of the change.
    pub fn dangers(&self, now: Timestamp) -> Vec<Danger> {
        let empty = Bundle::default();
        risk::dangers(self.old.unwrap_or(&empty), self.new, &self.steps, now)
    }
}
