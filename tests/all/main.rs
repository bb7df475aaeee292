//! Tests of whole instances, as separate processes between stand-ins.

mod bundles;
mod cluster;
mod failures;
mod moves;
mod path;
mod traffic;
