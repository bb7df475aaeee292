//! An executable specification of the core protocol, checked by exhaustive exploration.
//!
//! Each model is a transition system on a compact state, implemented independently of the code that
//! it specifies:
//!
//! - [`grant`]: rosters, votes, authority, takeovers and credits of one pool;
//! - [`claim`]: at-most-once claims of one idempotency key in the log of one shard;
//! - [`bundle`]: distribution of the versions of the bundle to the instances.
//!
//! [`explore()`] searches a [`Model`] breadth first over every order of its events, so the trace to
//! a violation is a shortest one. Each guard of a protocol is a field of the model's `Guards`.
//! Disabling it must lead to a violation, which shows that the exploration covers the case that the
//! guard exists for.
//!
//! The tests also compare [`grant`] with the `membership` crate on random walks.

pub mod bundle;
pub mod claim;
mod explore;
pub mod grant;
mod guards;
mod model;

pub use explore::{explore, Exploration, Step};
use guards::guards;
pub use model::Model;
