//! Takeover of a key by a new actor: when it may grant, and how an earlier actor hands the key
//! over.

mod handover;
mod limits;
mod state;

pub use handover::Handover;
pub use limits::Limits;
pub use state::Takeover;
