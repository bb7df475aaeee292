//! Receives, verifies and distributes bundles.
//!
//! The head object in the store holds the signed root of the latest bundle. An instance watches it,
//! and also learns of newer bundles from heartbeats, so that an instance that starts while the
//! store is down gets the bundle from other instances.
//!
//! Whatever its source, a bundle is put in force only if two operators of the keyring have signed
//! it, its parts match the signed digests, and its version is greater than the one in force. The
//! version in force therefore never decreases. A rejected bundle changes nothing.

mod archive;
mod fault;
mod task;

pub(crate) use archive::Archive;
pub(crate) use fault::Fault;
pub(crate) use task::run;
