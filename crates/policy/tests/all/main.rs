//! Tests of the decisions about one pool.

mod differential;
mod model;
mod quarantine;
mod retry;
mod scenarios;
mod support;
