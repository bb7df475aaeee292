//! Tests of whole instances, as separate processes between stand-ins.

mod failures;
mod path;
mod site;
mod traffic;
