//! Open-loop load, with each answer checked.
//!
//! [`run::run`] sends the calls of a [`plan::Plan`] at a fixed rate and returns a
//! [`report::Report`].
//!
//! Invariants:
//!
//! - The schedule does not wait for answers. A call's latency counts from when it was due, so that
//!   a stall of the called system, or of this program, shows in every call that it held up (the
//!   correction for coordinated omission, after G. Tene, "How NOT to Measure Latency", 2013).
//! - Load goes to loopback addresses only, for a bounded time.
//! - Every call that was due is counted under exactly one outcome.

pub mod audit;
pub mod call;
pub mod command;
mod connection;
pub mod error;
pub mod outcome;
mod page;
pub mod plan;
mod pool;
pub mod report;
mod response;
pub mod run;
mod table;
mod tally;

pub use error::Error;
