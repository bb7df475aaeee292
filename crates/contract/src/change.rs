//! Compares two bundles: the individual changes, and which of them are dangerous.

mod compare;
mod danger;
mod risk;
mod step;

use jiff::Timestamp;

pub use danger::Danger;
pub use step::Step;

use crate::Bundle;

/// The difference between two bundles.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<'a> {
    old: Option<&'a Bundle>,
    new: &'a Bundle,
    steps: Vec<Step>,
}

impl<'a> Change<'a> {
    /// Returns the changes that `new` makes when it replaces `old`, or as the first bundle.
    pub fn between(old: Option<&'a Bundle>, new: &'a Bundle) -> Self {
        let steps = compare::steps(old.unwrap_or(&Bundle::default()), new);
        Self { old, new, steps }
    }

    /// Returns the individual changes, data centres first. Each displays as a sentence.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Returns whether nothing changes except the version of the bundle.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the dangers of the change if it is made at the time `now`.
    pub fn dangers(&self, now: Timestamp) -> Vec<Danger> {
        let empty = Bundle::default();
        risk::dangers(self.old.unwrap_or(&empty), self.new, &self.steps, now)
    }
}
