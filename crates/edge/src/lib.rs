//! An instance that decides alone, from what the instances of its data centre tell each other.
//!
//! How the parts meet:
//!
//! - [`Daemon::start`](daemon::Daemon::start) starts the tasks of one instance around a shared
//!   [`node::Node`].
//! - `callers` reads requests, `forward` sends each to a backend server that the
//!   [`balance::table::Table`] chooses and answers with what the server said, or refuses it.
//! - `gossip` tells the other instances of the data centre of each request that starts or ends, and
//!   hears the same from them, so that one table a data centre is less than a millisecond old.
//! - `lending` lets a data centre use servers of another one, as `loans` in what readers tell.
//! - `reader` follows the [`store::Store`] for the data centre while this instance is its reader;
//!   `sync` hands what was read to the others.
//! - `prober` asks servers that nobody has heard of lately, `moves` brings a service from one
//!   version to another.
//!
//! What the outside calls things is known to a [`headers::Codec`] and a [`store::Store`], which
//! the adapter of a platform provides.
//!
//! Lock order, from first to last: `knowledge`, `members`, `moves`, `table`, `budget`,
//! `demand`, `turns`. No lock is
//! held across an await.

mod callers;
pub mod daemon;
pub mod error;
mod forward;
mod gossip;
pub mod headers;
mod lending;
pub mod log;
mod metrics;
mod moves;
pub mod node;
mod prober;
mod reader;
mod ready;
pub mod settings;
mod signal;
pub mod store;
mod sync;
mod view;
mod watchdog;

pub use daemon::Daemon;
pub use error::Error;
pub use settings::Settings;
