//! Changes of the roster.

mod blocker;
mod planner;

pub use blocker::Blocker;
pub use planner::Planner;
