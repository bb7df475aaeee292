//! Changes of the roster: a [`Planner`] decides on the next one, or returns a [`Blocker`].

mod blocker;
mod planner;

pub use blocker::Blocker;
pub use planner::Planner;
