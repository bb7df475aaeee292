//! Tests of the specification.

mod bundle;
mod claim;
mod grant;
mod world;
