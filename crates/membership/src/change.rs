//! Changes of the roster.

mod hold;
mod planner;

pub use hold::Hold;
pub use planner::Planner;
