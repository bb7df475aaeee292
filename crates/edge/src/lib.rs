//! An instance that makes its routing decisions locally, from state that the instances of its data
//! centre exchange.
//!
//! Components:
//!
//! - [`Daemon::spawn`](daemon::Daemon::spawn) starts the tasks of one instance around a shared
//!   [`node::Node`].
//! - `callers` reads requests. `forward` sends each to a backend server selected by the
//!   [`balance::table::Table`] and returns the response, or refuses the request.
//! - `gossip` publishes each start and end of a request to the other instances of the data centre
//!   and applies theirs, so that all instances of a data centre have the same table with a delay of
//!   less than a millisecond.
//! - `lending` lets a data centre use servers of another one. Readers exchange the `loans`.
//! - `reader` reads the [`store::Store`] on behalf of the data centre while this instance is its
//!   reader. `sync` passes the records to the other instances.
//! - `freshness` tells how old the records are.
//! - `conditions` records what servers ask for in their responses.
//! - `sharing` ranks requests by tenant where capacity is short ([`balance::share`]).
//! - `suspects` recognises requests that crash servers, and has them refused.
//! - `usage` counts the requests of tenants that servers began to run, and collects the counts of all
//!   instances.
//! - `duty` reports the usage of tenants while this instance has that duty.
//! - `prober` probes servers without a recent load report. `rollouts` moves a service from one
//!   version to another.
//!
//! The adapter of a platform implements [`headers::Codec`], [`store::Store`] and
//! [`duty::Receiver`], which hide the platform's header names and storage.
//!
//! Lock order, from first to last: `view`, `members`, `rollouts`, `table`, `budget`, `demand`,
//! `turns`, `suspects`, `shares`, those of `usage`. No lock is held across an await.

mod callers;
mod conditions;
pub mod daemon;
pub mod duty;
pub mod error;
mod forward;
mod freshness;
mod gossip;
pub mod headers;
mod lending;
pub mod log;
mod metrics;
pub mod node;
mod prober;
mod reader;
mod ready;
mod rollouts;
pub mod settings;
mod sharing;
mod signal;
pub mod store;
mod suspects;
mod sync;
mod usage;
mod view;
mod watchdog;

pub use daemon::Daemon;
pub use error::Error;
pub use settings::Settings;
pub use usage::Collected;
