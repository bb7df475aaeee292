//! Tests of moves.

mod simulation;
mod stream;
