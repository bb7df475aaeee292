//! The daemon: entry, owner of pools, links to other instances.

mod error;
pub mod outcome;
pub mod server;
pub mod settings;

pub use error::Error;
