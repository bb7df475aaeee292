//! Tests of moves.

mod invariant;
mod method;
mod simulation;
mod stream;
