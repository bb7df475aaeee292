//! The bundle in force, and how it spreads.
//!
//! The store's head object names the latest bundle. An instance follows it, and hears of later
//! bundles with heartbeats too, so that one that starts while the store is down gets the bundle
//! from other instances. Wherever it comes from, a bundle takes force only if two operators of the
//! keyring have signed it, its parts have the digests that were signed, and its version is above
//! the one in force. So the version in force never falls. A bundle that is refused changes nothing.

mod archive;
mod fault;
mod task;

pub(crate) use archive::Archive;
pub(crate) use fault::Fault;
pub(crate) use task::run;
