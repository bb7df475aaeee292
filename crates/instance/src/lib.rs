//! The daemon `chivewheeld`: one instance of the load balancer.
//!
//! A [`Daemon`] runs the tasks of an instance. They share a [`node::Node`]:
//!
//! - [`entry`] answers callers: it acquires a credit for each call and dispatches the call on it.
//! - [`owner`] grants the credits of the pools that this instance acts on.
//! - [`lease`] decides with the other instances which pools these are.
//! - [`peer`] answers messages of other instances, and [`link`] sends messages to them.
//! - [`claims`] ensures that a call that must not repeat runs at most once.
//! - [`moves`] carries out rollouts: it shifts traffic between versions.
//! - [`view`] holds the current bundle, roster and list of backend servers.

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
