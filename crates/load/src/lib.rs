//! Open-loop load generator that checks each response.
//!
//! [`run::run`] sends the calls of a [`plan::Plan`] at a fixed rate and returns a
//! [`report::Report`].
//!
//! Invariants:
//!
//! - The schedule does not wait for responses. Latency is measured from a call's scheduled start,
//!   so a stall of the system under test, or of this program, shows in every call that it delays
//!   (the correction for coordinated omission, after G. Tene, "How NOT to Measure Latency", 2013).
//! - Calls are sent to loopback addresses only, for a bounded time.
//! - Every scheduled call is counted under exactly one outcome.

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
