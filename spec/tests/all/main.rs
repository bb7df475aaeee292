//! Tests of the specification.

mod bundle;
mod claim;
mod conformance;
mod grant;
mod mirror;
mod world;
