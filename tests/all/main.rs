//! Tests of whole instances, as separate processes between stand-ins.

mod bundles;
mod failures;
mod moves;
mod path;
mod site;
mod traffic;
