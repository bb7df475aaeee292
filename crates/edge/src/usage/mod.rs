//! Counts the usage of tenants, and collects the counts of all instances.
//!
//! Nothing is counted or sent unless the settings have the duty to report usage.
//!
//! - `state` counts each request from the moment at which it is sent to a server.
//! - `send` sends the counts to two instances of the data centre, the collectors.
//! - `write` writes the sums of the data centre to the store, once a window, as the first collector.
//! - `serve` returns the sums to other instances. `collect` asks all data centres for theirs, and reads
//!   from the store what one that cannot be reached wrote last.
//!
//! The mutexes of [`State`] are locked one at a time, after all others of the instance.

mod collect;
mod error;
mod send;
mod serve;
mod state;
mod write;

pub(crate) use collect::collect;
pub use collect::Collected;
pub(crate) use send::{flush, run as run_sender};
pub(crate) use serve::handler;
pub(crate) use state::{Request, State};
pub(crate) use write::run as run_writer;

/// The path at which instances request the sums of a window from each other.
const SUMS_PATH: &str = "/sums";
