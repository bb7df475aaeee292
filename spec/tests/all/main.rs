//! Tests of the specification, and of `membership` against it.

mod bundle;
mod claim;
mod conformance;
mod grant;
mod mirror;
mod world;
