//! Tests of rosters, placement, votes, authority and takeovers.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod change;
mod naive;
mod placement;
mod takeover;
mod vote;
mod world;
