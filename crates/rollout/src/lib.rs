//! Moves between versions and the tests that take bad versions back, without I/O.
//!
//! A [`Controller`](controller::Controller) leads one move of one service. Invariants:
//!
//! - A move that was taken back stays so, and its share is 0.
//! - The share grows to at most its double at a time, and only after answers of the new version at
//!   the present share.
//! - The move has ended once its deadline has passed.
//! - A version is taken back for its answers only if they are worse than those of the old version on
//!   the same route, in the same data centre and period.
//! - If the versions answer alike, a move is taken back for its answers with a probability of at
//!   most [`ALPHA`](jackknife::ALPHA).
//!
//! `docs/design/rollout.md` weighs the methods.

pub mod action;
mod analysis;
mod arm;
pub mod checkpoint;
mod comparison;
pub mod contingency;
pub mod controller;
pub mod counts;
mod cusum;
pub mod evidence;
mod histogram;
pub mod jackknife;
pub mod origin;
pub mod pace;
mod pair;
pub mod plan;
pub mod progress;
pub mod reason;
pub mod sample;
pub mod sequential;
pub mod state;
mod stratum;
pub mod tally;
