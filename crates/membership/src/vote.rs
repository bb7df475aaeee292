//! Votes of members for the actor on a duty.
//!
//! Invariants of a [`Voter`]:
//!
//! - Its epoch never decreases.
//! - It supports one actor per duty at a time, for a lease and a margin from each answer.
//! - Support passes to another actor before that time only with the [`Release`] of the previous
//!   actor.

mod answer;
mod refusal;
mod release;
mod request;
mod voter;

pub use answer::Answer;
pub use refusal::Refusal;
pub use release::Release;
pub use request::Request;
pub use voter::Voter;
