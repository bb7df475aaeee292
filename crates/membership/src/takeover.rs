//! When a new actor may grant.

mod handover;
mod limits;
mod state;

pub use handover::Handover;
pub use limits::Limits;
pub use state::Takeover;
