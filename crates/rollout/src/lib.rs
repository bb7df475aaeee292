//! Gradual rollouts from one version of a service to another, without I/O.
//!
//! A [`Controller`](controller::Controller) decides on one rollout of one service. The owners of
//! pools report the responses of backend servers as [`Evidence`](evidence::Evidence). Sequential
//! tests compare both versions, and the controller returns [`Action`](action::Action)s: raise the
//! share of the new version, finish the rollout, or roll it back.
//!
//! Invariants:
//!
//! - A rollout that was rolled back stays so, and its share is 0.
//! - The share at most doubles at a time, and grows only after responses of the new version at the
//!   current share.
//! - The rollout has ended once its deadline has passed.
//! - A version is rolled back for its responses only if they are worse than those of the old
//!   version on the same route, in the same data centre and period.
//! - If the versions behave alike, a rollout is rolled back for its responses with a probability of
//!   at most [`ALPHA`](jackknife::ALPHA).
//!
//! `docs/design/rollout.md` compares the statistical methods.

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
