//! Support for whoever acts on a duty.
//!
//! Invariants of a [`Voter`]: its epoch never falls; it supports one actor a duty at a time, for a
//! lease and a margin from each answer; support passes to another actor early only with the
//! [`Release`] of the one that had it.

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
