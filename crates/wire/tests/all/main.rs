//! Tests of frames.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod frame;
