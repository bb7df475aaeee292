//! Tests of rollouts.

mod invariant;
mod method;
mod simulation;
mod stream;
