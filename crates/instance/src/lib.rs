//! The daemon: entry, owner of pools, links to other instances.
//!
//! A [`Daemon`] is one instance. Its parts share a [`node::Node`]:
//!
//! - [`entry`] answers callers: it obtains a credit for each call and dispatches on it.
//! - [`owner`] grants the credits of the pools that this instance acts on.
//! - [`lease`] decides which pools these are, together with the other instances.
//! - [`peer`] answers other instances, and [`link`] asks them.
//! - [`claims`] sees to it that a call that must not repeat runs at most once.
//! - [`moves`] moves traffic between versions.
//! - [`view`] holds what is known of the world: bundle, roster and backend servers.

mod bundle;
mod calls;
pub mod claims;
mod daemon;
pub mod entry;
mod error;
pub mod holdings;
pub mod lease;
pub mod link;
pub mod log;
pub mod moves;
pub mod node;
mod operators;
pub mod outcome;
pub mod owner;
pub mod peer;
pub mod server;
mod servers;
pub mod settings;
pub mod telemetry;
pub mod view;

pub use daemon::Daemon;
pub use error::Error;
